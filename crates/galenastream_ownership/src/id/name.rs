//! Identifiers that are hashes of names.

use std::fmt;

use xxhash_rust::xxh3::xxh3_64;

/// A service, identified by the hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(pub u32);

impl ServiceId {
    /// The id of the service with this name. Settings refuse two names with the same id.
    pub fn from_name(name: &str) -> Self {
        Self(hash_name(name))
    }
}

/// A place (data centre), identified by the hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlaceId(pub u32);

impl PlaceId {
    /// The id of the place with this name. Settings refuse two names with the same id.
    pub fn from_name(name: &str) -> Self {
        Self(hash_name(name))
    }
}

/// The position of a key in the 64-bit hash space of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash(pub u64);

impl KeyHash {
    /// The lowest position.
    pub const MIN: Self = Self(0);
    /// The highest position.
    pub const MAX: Self = Self(u64::MAX);

    /// Hashes a key. The result is the same in every process and version.
    pub fn of(key: &[u8]) -> Self {
        Self(xxh3_64(key))
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

fn hash_name(name: &str) -> u32 {
    (xxh3_64(name.as_bytes()) >> 32) as u32
}
