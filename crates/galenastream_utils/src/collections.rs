//! Hash collections with a fast hasher.

/// A hash map with a fast, deterministic hasher. Not safe for keys that an attacker can choose:
/// collisions are easy to construct.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with a fast, deterministic hasher. Not safe for keys that an attacker can choose:
/// collisions are easy to construct.
pub type FastSet<T> = rustc_hash::FxHashSet<T>;
