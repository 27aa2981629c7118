//! How long a call may last that waits for changes of the store.
//!
//! The load: the store falls silent for all instances at once, or a connection to it does. A call that is lost then
//! cannot be told from one that waits as nothing changes, and every instance may have lost its call, so that no peer
//! knows more. Only the time limit ends it; until then the instance serves what was in force before.

use siskinyoke_base::Millis;

/// How much longer than the store holds a watch its answer may take.
pub const RESPONSE_MARGIN: Millis = Millis(700);

/// How long the store may hold a watch at most, in a fleet of one shard and in a larger one.
///
/// In a larger fleet other shards tell of changes while a watch is lost here.
const MAX_WATCH: [Millis; 2] = [Millis(3_500), Millis(7_000)];

/// How long it may hold one that follows a failed call, which is likely to be lost, too.
const MAX_WATCH_AFTER_FAILURE: Millis = Millis(300);

/// How long it takes until the next watch brings what the lost one did not: a pause, a connection, an answer.
const RESUME_TIME: Millis = Millis(300);

/// Returns how long the store may hold a watch.
///
/// `settle` is the time from the end of a disturbance until changes must be in force as usual, `reaches` whether the
/// last call of the store succeeded.
pub fn watch_timeout(settle: Millis, reaches: bool, shards: usize) -> Millis {
    if !reaches {
        return MAX_WATCH_AFTER_FAILURE;
    }
    let most = settle.since(RESPONSE_MARGIN + RESUME_TIME);
    MAX_WATCH[usize::from(shards > 1)]
        .min(most)
        .max(MAX_WATCH_AFTER_FAILURE)
}
