//! A range of keys with settings of its own.

use std::fmt;

/// The bounds of a range of keys, both included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyBounds {
    /// The first key.
    pub first: u16,
    /// The last key.
    pub last: u16,
}

impl KeyBounds {
    /// The range from `first` to `last`. Without one it is open at that side.
    pub fn new(first: Option<u16>, last: Option<u16>) -> Self {
        Self { first: first.unwrap_or(0), last: last.unwrap_or(u16::MAX) }
    }

    /// Whether the range has no key.
    pub const fn is_empty(self) -> bool {
        self.last < self.first
    }

    /// Whether the range has this key.
    pub const fn contains(self, key: u16) -> bool {
        self.first <= key && key <= self.last
    }

    /// Whether both ranges have a key in common.
    pub const fn overlaps(self, other: Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }
}

impl fmt::Display for KeyBounds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "keys {} to {}", self.first, self.last)
    }
}
