//! Hash collections with a fast hasher.

/// A hash map with a fast, deterministic hasher. Not for keys chosen by an attacker.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with a fast, deterministic hasher. Not for keys chosen by an attacker.
pub type FastSet<T> = rustc_hash::FxHashSet<T>;
