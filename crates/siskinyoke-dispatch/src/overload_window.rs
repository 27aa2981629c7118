//! Duration of the current overload.

use siskinyoke_base::Millis;

/// The time without a refusal after which an overload is over.
///
/// Requests arrive in bursts some tenths of a second apart.
const OVERLOAD_END_GAP: Millis = Millis(700);

/// Tracks for how long requests of one priority have been refused for lack of slots.
///
/// The end of an overload is unknown. One that has lasted for some time is expected to last as long
/// again: callers that are told to retry earlier are refused again, and have no third attempt.
#[derive(Debug, Clone, Copy, Default)]
pub struct OverloadWindow {
    started_at: Millis,
    last_refusal: Option<Millis>,
}

impl OverloadWindow {
    /// Records a refusal and returns how long the overload has lasted.
    pub fn record_refusal(&mut self, now: Millis) -> Millis {
        let continues = self
            .last_refusal
            .is_some_and(|last| now.since(last) < OVERLOAD_END_GAP);
        if !continues {
            self.started_at = now;
        }
        self.last_refusal = Some(now);
        now.since(self.started_at)
    }
}
