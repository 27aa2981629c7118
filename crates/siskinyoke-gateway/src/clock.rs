//! The machine's clock that also counts the time in which the machine was suspended.

use rustix::time::ClockId;
use rustix::time::clock_gettime;

use siskinyoke_base::Clock;
use siskinyoke_base::Millis;

/// The time since the machine started, suspensions included.
///
/// The usual steady clock stands still while a machine is suspended: deadlines would then seem
/// to lie ahead that are long over, and work would be sent for callers that have gone.
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
