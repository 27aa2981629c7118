//! Which instance of a shard watches the store for the others.
//!
//! The load: each change of the store ends every watch that waits, so that calls grow with instances
//! times changes; a rolling replacement of a hundred endpoints costs three hundred instances thirty
//! thousand calls. So one instance of a shard watches and the others take what it heard from it.
//!
//! There is no election. Every instance applies one rule to the reports that it hears: the first by
//! hash, among itself and those that are heard and reach the store, watches. Whoever follows, follows
//! one that comes before itself, so a chain of followers always ends at an instance that watches, also
//! where some hear each other one way only. A watcher that freezes, dies or is cut off falls silent;
//! one that the store refuses says so. The next one takes over in either case.

use crate::stable_hash;

/// What an instance does to hear of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreRole {
    /// It watches the store.
    Watcher,
    /// It takes changes from peers.
    Follower,
}

impl StoreRole {
    /// Returns the word for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Watcher => "watch",
            Self::Follower => "follow",
        }
    }
}

/// An instance that may watch the store.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a str,
    /// Whether it reaches the store, as far as it knows.
    pub store_reachable: bool,
}

/// Returns which instance is to watch, among this one and the peers that it hears.
///
/// Where none reaches the store, it is the first of them all, which goes on trying.
pub fn select_watcher<'a>(
    me: Candidate<'a>,
    peers: impl Iterator<Item = Candidate<'a>>,
) -> &'a str {
    let order = |it: &Candidate<'a>| (!it.store_reachable, stable_hash(&it.name), it.name);
    peers
        .chain([me])
        .min_by_key(order)
        .map_or(me.name, |it| it.name)
}
