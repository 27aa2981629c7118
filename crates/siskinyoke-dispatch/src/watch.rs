//! Time limits for watch calls, which wait for changes of the store.
//!
//! If the store or a connection to it stalls, a lost watch call cannot be told from one that waits
//! because nothing changes. All instances may lose their calls at once, so that no peer has newer
//! data either. Only the time limit ends a lost call; until then the instance uses outdated state.

use siskinyoke_base::Millis;

/// How much longer than the store may keep a watch open its response may take.
pub const RESPONSE_MARGIN: Millis = Millis(700);

/// Maximum time the store may keep a watch open, in a fleet of one shard and of several shards.
///
/// With several shards, other shards report changes while the watch of this one is lost.
const MAX_WATCH: [Millis; 2] = [Millis(3_500), Millis(7_000)];

/// Maximum time for a watch after a failed call, as it is likely to be lost too.
const MAX_WATCH_AFTER_FAILURE: Millis = Millis(100);

/// Interval at which a watch after a failed call is sent again on another connection.
///
/// It bounds how late the return of the store is noticed, and exceeds the time for which the store
/// keeps such a watch open.
pub const PROBE_INTERVAL: Millis = Millis(300);

/// Number of times a watch after a failed call is sent before it counts as failed too.
pub const MAX_PROBES: u32 = 3;

/// Time until the next watch delivers the changes missed by a lost one: pause, connect, response.
const RESUME_TIME: Millis = Millis(300);

/// Returns how long the store may keep a watch open.
///
/// `settling_time` is the time after the end of a disturbance within which changes must take effect
/// at normal speed again, and `store_reachable` whether the last call to the store succeeded.
pub fn watch_timeout(settling_time: Millis, store_reachable: bool, shards: usize) -> Millis {
    if !store_reachable {
        return MAX_WATCH_AFTER_FAILURE;
    }
    let longest = settling_time.since(RESPONSE_MARGIN + RESUME_TIME);
    MAX_WATCH[usize::from(shards > 1)]
        .min(longest)
        .max(MAX_WATCH_AFTER_FAILURE)
}
