//! A steady clock that includes the time during which the machine was suspended.

use rustix::time::ClockId;
use rustix::time::clock_gettime;

use siskinyoke_base::Clock;
use siskinyoke_base::Millis;

/// The time since the machine booted, suspensions included (`CLOCK_BOOTTIME`).
///
/// The usual monotonic clock stops while the machine is suspended. Deadlines that passed meanwhile
/// would seem to lie ahead, and requests would run for callers that have disconnected.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Millis {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let millis = u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000_000;
        Millis(seconds * 1000 + millis)
    }
}
