//! Ranges of keys.

use std::fmt;

/// How many keys there are.
pub const KEY_COUNT: u32 = 65_536;

/// Keys from `first` to `last`, both included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyRange {
    /// The first key.
    pub first: u16,
    /// The last key.
    pub last: u16,
}

impl KeyRange {
    /// All keys.
    pub const ALL: Self = Self { first: 0, last: u16::MAX };

    /// Creates a range; `None` if it would be empty.
    pub const fn new(first: u16, last: u16) -> Option<Self> {
        if first > last {
            return None;
        }
        Some(Self { first, last })
    }

    /// How many keys it has.
    pub const fn len(self) -> u32 {
        self.last as u32 - self.first as u32 + 1
    }

    /// Whether it has no keys, which never happens.
    pub const fn is_empty(self) -> bool {
        false
    }

    /// Whether it has this key.
    pub const fn contains(self, key: u16) -> bool {
        self.first <= key && key <= self.last
    }

    /// The keys that both ranges have.
    pub fn overlap(self, other: Self) -> Option<Self> {
        Self::new(self.first.max(other.first), self.last.min(other.last))
    }

    /// The keys before and after another range.
    pub fn without(self, other: Self) -> [Option<Self>; 2] {
        if self.overlap(other).is_none() {
            return [Some(self), None];
        }
        let before = other.first.checked_sub(1).and_then(|last| Self::new(self.first, last));
        let after = other.last.checked_add(1).and_then(|first| Self::new(first, self.last));
        [before, after]
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.first, self.last)
    }
}
