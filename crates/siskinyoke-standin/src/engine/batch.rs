//! Continuous batching: slots, the queue for them, and sequential prefill.

use std::collections::VecDeque;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use siskinyoke_base::Clock;
use siskinyoke_base::Millis;
use siskinyoke_base::clock::SystemClock;

/// How often a waiting request checks that its caller is still connected.
const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Bound of the load history, from which lagging metrics are served.
const MAX_LOAD_SAMPLES: usize = 65_536;

/// The running and queued requests of an engine.
#[derive(Debug)]
pub struct Batch {
    clock: SystemClock,
    slots: u32,
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    running: u32,
    queue: VecDeque<u64>,
    last_ticket: u64,
    prefill_end: Duration,
    samples: VecDeque<(Millis, Load)>,
}

/// The number of running and waiting requests.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that occupy a slot.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
}

/// An occupied slot, released on drop.
#[derive(Debug)]
pub struct Slot<'a>(&'a Batch);

impl Batch {
    /// Creates a batch with the given number of slots.
    pub fn new(slots: u32) -> Self {
        Self {
            clock: SystemClock::start(),
            slots,
            state: Mutex::default(),
            changed: Condvar::new(),
        }
    }

    /// Waits in order of arrival for a slot; returns `None` if the caller disconnects.
    pub fn acquire_slot(&self, is_connected: &dyn Fn() -> bool) -> Option<Slot<'_>> {
        let mut state = self.lock();
        state.last_ticket += 1;
        let ticket = state.last_ticket;
        state.queue.push_back(ticket);
        self.record_sample(&mut state);
        while state.running >= self.slots || state.queue.front() != Some(&ticket) {
            let waited = self.changed.wait_timeout(state, CONNECTION_CHECK_INTERVAL);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
            if !is_connected() {
                state.queue.retain(|other| *other != ticket);
                self.record_sample(&mut state);
                self.changed.notify_all();
                return None;
            }
        }
        state.queue.pop_front();
        state.running += 1;
        self.record_sample(&mut state);
        self.changed.notify_all();
        Some(Slot(self))
    }

    /// Prefills a prompt after all earlier ones; returns false if the caller disconnects.
    pub fn prefill(&self, duration: Duration, is_connected: &dyn Fn() -> bool) -> bool {
        let now = Duration::from(self.clock.now());
        let end = {
            let mut state = self.lock();
            state.prefill_end = state.prefill_end.max(now) + duration;
            state.prefill_end
        };
        sleep_while_connected(end.saturating_sub(now), is_connected)
    }

    /// Returns the load as of `lag` ago.
    pub fn lagged_load(&self, lag: Millis) -> Load {
        let now = self.clock.now();
        let state = self.lock();
        let mut past = state.samples.iter().rev();
        let sample = past.find(|(at, _)| *at + lag <= now);
        sample.map_or_else(Load::default, |(_, load)| *load)
    }

    fn record_sample(&self, state: &mut State) {
        let load = Load {
            running: state.running,
            waiting: u32::try_from(state.queue.len()).unwrap_or(u32::MAX),
        };
        state.samples.push_back((self.clock.now(), load));
        if state.samples.len() > MAX_LOAD_SAMPLES {
            state.samples.pop_front();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.running -= 1;
        self.0.record_sample(&mut state);
        drop(state);
        self.0.changed.notify_all();
    }
}

/// Sleeps in short steps; returns false as soon as the caller disconnects.
pub fn sleep_while_connected(mut duration: Duration, is_connected: &dyn Fn() -> bool) -> bool {
    while !duration.is_zero() {
        let step = duration.min(CONNECTION_CHECK_INTERVAL);
        thread::sleep(step);
        duration -= step;
        if !is_connected() {
            return false;
        }
    }
    is_connected()
}
