//! A daemon on its way out: nothing new, everything accepted to its end, charges to safety.

use super::Core;
use crate::Action;
use crate::Context;
use crate::orders::Orders;
use siskinyoke_base::Millis;

/// A daemon on its way out.
#[derive(Debug, Clone, Copy)]
pub(super) struct Leaving {
    /// When the last answer was given.
    pub(super) quiet: Millis,
    /// When the core last looked whether it may stop.
    looked: Millis,
    /// Whether usage was told to write everything.
    flushed: bool,
    /// Whether the process was told to stop.
    exited: bool,
}

impl Core {
    /// Begins to leave: announces it, and takes nothing new.
    pub(super) fn leave(&mut self, now: Millis) {
        if self.leaving.is_none() {
            let mut cx = Context {
                now,
                out: &mut self.out,
                rng: &mut self.rng,
            };
            self.members.leave(&mut cx);
            self.orders.values_mut().for_each(Orders::leave);
            log::info!("leaving: {} requests are open", self.jobs.len());
            self.leaving = Some(Leaving {
                quiet: now,
                looked: now,
                flushed: false,
                exited: false,
            });
        }
    }

    /// Stops the process once everything accepted is finished.
    pub(super) fn maybe_exit(&mut self, now: Millis) {
        let Some(leaving) = &mut self.leaving else {
            return;
        };
        // A process that stood still wakes with requests waiting in its sockets; leaving at once
        // would cut them off unread.
        let pause = now.since(leaving.looked);
        let stood_still = pause >= STANDSTILL;
        leaving.looked = now;
        if pause >= HICCUP {
            let linger = self.settings.linger;
            leaving.quiet = leaving.quiet.max((now + READING).since(linger));
        }
        let busy = !self.orders.values().all(Orders::settled)
            || !self.jobs.is_empty()
            || !self.forwards.is_empty()
            || !self.claiming.is_empty();
        if busy || stood_still {
            leaving.quiet = now;
        } else if !leaving.flushed {
            leaving.flushed = true;
            let mut cx = Context {
                now,
                out: &mut self.out,
                rng: &mut self.rng,
            };
            self.usage.flush(&mut cx);
            self.burn.flush(&mut cx);
        } else if !self.usage.settled() && now.since(leaving.quiet) < self.settings.settle {
            // Charges that no other holds yet would be lost with this process.
        } else if !leaving.exited && now.since(leaving.quiet) >= self.settings.linger {
            leaving.exited = true;
            self.out.push(Action::Exit);
        }
    }
}

/// How long the core must have had no event to count as having stood still; ticks come far more
/// often than this.
const STANDSTILL: Millis = Millis(500);

/// A pause that may have left requests unread, though too short for callers to give up; above the
/// core's tick, so that it is rare where the process gets its share of the processor.
const HICCUP: Millis = Millis(150);

/// How long reading takes after such a pause; it must not start the wait for resends anew, or a
/// daemon on an overloaded machine would never exit.
const READING: Millis = Millis(200);
