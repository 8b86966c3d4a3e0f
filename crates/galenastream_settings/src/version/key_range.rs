//! A range of keys with settings of its own.

use std::fmt;

/// The bounds of a range of keys, in the order of their bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyBounds {
    /// The first key of the range.
    pub first: Vec<u8>,
    /// The first key behind the range, `None` if the range reaches to the last key.
    pub end: Option<Vec<u8>>,
}

impl KeyBounds {
    /// The range of all keys that start with `prefix`.
    pub fn with_prefix(prefix: &[u8]) -> Self {
        Self { first: prefix.to_vec(), end: end_of_prefix(prefix) }
    }

    /// The range from `first` to `last`, both included. Without one it is open at that side.
    pub fn new(first: Option<&[u8]>, last: Option<&[u8]>) -> Self {
        Self { first: first.unwrap_or_default().to_vec(), end: last.map(key_after) }
    }

    /// Whether the range has no key.
    pub fn is_empty(&self) -> bool {
        self.end.as_ref().is_some_and(|end| *end <= self.first)
    }

    /// Whether the range has this key.
    pub fn contains(&self, key: &[u8]) -> bool {
        self.first.as_slice() <= key && self.end.as_deref().is_none_or(|end| key < end)
    }

    /// Whether both ranges have a key in common.
    pub fn overlaps(&self, other: &Self) -> bool {
        let starts_before = |a: &Self, b: &Self| b.end.as_ref().is_none_or(|end| a.first < *end);
        starts_before(self, other) && starts_before(other, self)
    }
}

/// The first key that is longer than or behind all keys with the prefix.
fn end_of_prefix(prefix: &[u8]) -> Option<Vec<u8>> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        let Some(next) = last.checked_add(1) else {
            continue;
        };
        end.push(next);
        return Some(end);
    }
    None
}

/// The key that directly follows another one.
fn key_after(key: &[u8]) -> Vec<u8> {
    let mut next = key.to_vec();
    next.push(0);
    next
}

impl fmt::Display for KeyBounds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first = String::from_utf8_lossy(&self.first);
        write!(f, "from {first:?}")?;
        match &self.end {
            Some(end) => write!(f, " to before {:?}", String::from_utf8_lossy(end)),
            None => f.write_str(" to the last key"),
        }
    }
}
