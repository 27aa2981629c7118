//! Selection of the instance of a shard that watches the store on behalf of the others.
//!
//! Each change of the store ends every open watch, so the number of calls grows with instances
//! times changes: a rolling replacement of a hundred endpoints would cost three hundred instances
//! thirty thousand calls. Therefore one instance of a shard watches the store and the others fetch
//! the changes from it.
//!
//! There is no election. Every instance applies the same rule to the reports that it receives: of
//! itself and its reporting peers that can reach the store, the one with the lowest hash watches. A
//! follower only ever follows an instance that comes before itself in this order, so a chain of
//! followers always ends at a watcher, even where some links work one way only. A watcher that
//! hangs, crashes or is cut off stops reporting, and one whose calls to the store fail says so in
//! its reports. In either case the next instance takes over.

use crate::stable_hash;

/// How an instance learns of changes of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreRole {
    /// It watches the store itself.
    Watcher,
    /// It fetches changes from peers.
    Follower,
}

impl StoreRole {
    /// Returns the name used in log events.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Watcher => "watch",
            Self::Follower => "follow",
        }
    }
}

/// An instance that may be selected to watch the store.
#[derive(Debug, Clone, Copy)]
pub struct WatcherCandidate<'a> {
    /// The instance's name.
    pub name: &'a str,
    /// Whether its last call to the store succeeded, as far as known.
    pub store_reachable: bool,
}

/// Selects the watcher among this instance and its reporting peers.
///
/// If none of them can reach the store, the first of all is selected and keeps trying.
pub fn select_watcher<'a>(
    own: WatcherCandidate<'a>,
    peers: impl Iterator<Item = WatcherCandidate<'a>>,
) -> &'a str {
    let order = |it: &WatcherCandidate<'a>| (!it.store_reachable, stable_hash(&it.name), it.name);
    peers
        .chain([own])
        .min_by_key(order)
        .map_or(own.name, |it| it.name)
}
