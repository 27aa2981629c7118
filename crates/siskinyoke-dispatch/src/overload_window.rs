//! How long requests have been refused for want of places.

use siskinyoke_base::Millis;

/// How long no request may have been refused for a peak to be over.
///
/// Requests come in clumps, some tenths of a second apart.
const OVER: Millis = Millis(700);

/// How long requests of one rank have been refused for want of places.
///
/// Nobody knows when a peak ends. One that has lasted for some time is expected to last as long again;
/// callers that are told less come back in vain, and have no third try.
#[derive(Debug, Clone, Copy, Default)]
pub struct OverloadWindow {
    since: Millis,
    last: Option<Millis>,
}

impl OverloadWindow {
    /// Takes note of a refusal, and returns for how long there have been some.
    pub fn refused(&mut self, now: Millis) -> Millis {
        let goes_on = self.last.is_some_and(|last| now.since(last) < OVER);
        if !goes_on {
            self.since = now;
        }
        self.last = Some(now);
        now.since(self.since)
    }
}
