//! Bounds of key ranges.

use std::fmt;

/// The bounds of a key range, both inclusive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyBounds {
    /// The first key.
    pub first: u16,
    /// The last key.
    pub last: u16,
}

impl KeyBounds {
    /// Creates the range from `first` to `last`. A missing bound extends the range to the lowest or
    /// highest key.
    pub fn new(first: Option<u16>, last: Option<u16>) -> Self {
        Self { first: first.unwrap_or(0), last: last.unwrap_or(u16::MAX) }
    }

    /// Returns whether the range contains no keys.
    pub const fn is_empty(self) -> bool {
        self.last < self.first
    }

    /// Returns whether the range contains a key.
    pub const fn contains(self, key: u16) -> bool {
        self.first <= key && key <= self.last
    }

    /// Returns whether the two ranges have a key in common. Neither may be empty.
    pub const fn overlaps(self, other: Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }
}

impl fmt::Display for KeyBounds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "keys {} to {}", self.first, self.last)
    }
}
