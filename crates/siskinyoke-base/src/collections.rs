//! Aliases for hash collections with a fast hasher.

/// A hash map with a fast, unseeded hasher. Must not be iterated where the order is observable.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with a fast, unseeded hasher. Must not be iterated where the order is observable.
pub type Set<K> = rustc_hash::FxHashSet<K>;
