//! How long requests have been refused for want of places.

use siskinyoke_base::Millis;

/// How long no request may have been refused for a peak to be over.
///
/// Requests come in clumps, some tenths of a second apart.
const OVERLOAD_END_GAP: Millis = Millis(700);

/// How long requests of one rank have been refused for want of places.
///
/// Nobody knows when a peak ends. One that has lasted for some time is expected to last as long again;
/// callers that are told less come back in vain, and have no third try.
#[derive(Debug, Clone, Copy, Default)]
pub struct OverloadWindow {
    started_at: Millis,
    last_refusal: Option<Millis>,
}

impl OverloadWindow {
    /// Takes note of a refusal, and returns for how long there have been some.
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
