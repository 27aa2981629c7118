//! The collections in use, with a fast hasher behind an alias.

/// A hash map with a fast, fixed hasher; never iterate it where order can be seen.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with a fast, fixed hasher; never iterate it where order can be seen.
pub type Set<K> = rustc_hash::FxHashSet<K>;
