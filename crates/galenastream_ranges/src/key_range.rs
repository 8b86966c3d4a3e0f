//! Ranges of keys.

use std::fmt;

/// The number of keys: a key is a `u16`.
pub const KEY_COUNT: u32 = 65_536;

/// A non-empty, inclusive range of keys.
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

    /// Creates a range. Returns `None` if it would be empty.
    pub const fn new(first: u16, last: u16) -> Option<Self> {
        if first > last {
            return None;
        }
        Some(Self { first, last })
    }

    /// Returns the number of keys.
    pub const fn len(self) -> u32 {
        self.last as u32 - self.first as u32 + 1
    }

    /// Returns `false`: a range is never empty.
    pub const fn is_empty(self) -> bool {
        false
    }

    /// Returns whether the range contains a key.
    pub const fn contains(self, key: u16) -> bool {
        self.first <= key && key <= self.last
    }

    /// Returns the keys that both ranges contain.
    pub fn overlap(self, other: Self) -> Option<Self> {
        Self::new(self.first.max(other.first), self.last.min(other.last))
    }

    /// Returns the keys of this range before and after those of another one. If the two do not
    /// overlap, the whole range comes first.
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
