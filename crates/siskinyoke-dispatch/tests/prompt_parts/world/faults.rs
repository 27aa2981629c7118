//! Faults that have nothing to do with prompts.

use rand::Rng;

use super::Attempt;
use super::Fleet;
use super::STEP_MS;
use crate::scenario::Faults;

/// How long an instance is down when it restarts, in ms.
const RESTART_MS: u64 = 700;

/// The part of the endpoints that die at the same moment.
const MASS_CRASH_DIVISOR: usize = 3;

impl Fleet {
    pub(super) fn inject_faults(&mut self) {
        let faults = self.scenario.faults;
        let mixed = faults == Faults::Mixed;
        if mixed || faults == Faults::Instances {
            self.fail_instances();
        }
        if (mixed || faults == Faults::Resets) && self.happens(1.5) {
            self.reset_connection();
        }
        // One endpoint breaks off every fifth response.
        if faults == Faults::Resets && self.happens(2.0) {
            self.reset_connection_of(0);
        }
        let crashes_per_second = match faults {
            Faults::MassCrashes => 0.25,
            Faults::Mixed => 0.05,
            _ => 0.0,
        };
        if self.happens(crashes_per_second) {
            self.crash_several();
        }
    }

    fn happens(&mut self, per_second: f64) -> bool {
        self.rng.random_bool(per_second * STEP_MS as f64 / 1_000.0)
    }

    fn fail_instances(&mut self) {
        let index = self.rng.random_range(0..self.cores.len());
        if self.down_until[index] > self.now {
            return;
        }
        if self.happens(0.08) {
            self.restart_instance(index);
        }
        if self.happens(0.08) {
            let until = self.now + self.rng.random_range(500..8_000);
            self.cut_until[index] = self.cut_until[index].max(until);
            self.record.troubles.push((index, self.now, until));
        }
        if self.happens(0.08) {
            self.cut_links(index);
        }
    }

    // Its connections close: callers lose their requests, and endpoints abort the attempts.
    fn restart_instance(&mut self, index: usize) {
        if self.cores.len() - self.down_until.iter().filter(|it| **it > self.now).count() < 2 {
            return;
        }
        let until = self.now + RESTART_MS;
        self.down_until[index] = until;
        self.record.troubles.push((index, self.now, until));
        self.tickets.retain(|key, _| key.0 != index);
        let requests = &self.requests;
        self.attempts
            .retain(|it| requests[it.request].instance != index);
        self.cores[index] = self.start_core(index);
    }

    // An instance loses its own links to all endpoints, and all attempts over them.
    fn cut_links(&mut self, index: usize) {
        let until = self.now + self.rng.random_range(1_000..5_000);
        self.unlinked_until[index] = self.unlinked_until[index].max(until);
        self.record.troubles.push((index, self.now, until));
        let requests = &self.requests;
        let (broken, others) = std::mem::take(&mut self.attempts)
            .into_iter()
            .partition(|it| requests[it.request].instance == index && !it.relayed);
        self.attempts = others;
        let broken: Vec<Attempt> = broken;
        for attempt in broken {
            self.break_off(attempt);
        }
    }

    fn reset_connection(&mut self) {
        let running: Vec<_> = (0..self.attempts.len())
            .filter(|it| self.attempts[*it].runs && !self.attempts[*it].crashes)
            .collect();
        if running.is_empty() {
            return;
        }
        let index = running[self.rng.random_range(0..running.len())];
        let attempt = self.attempts.swap_remove(index);
        self.break_off(attempt);
    }

    fn reset_connection_of(&mut self, endpoint: usize) {
        let mut attempts = self.attempts.iter();
        let index = attempts.position(|it| it.endpoint == endpoint && it.runs && !it.crashes);
        let Some(index) = index else {
            return;
        };
        let attempt = self.attempts.swap_remove(index);
        self.break_off(attempt);
    }

    fn crash_several(&mut self) {
        let first = self.rng.random_range(0..self.endpoints.len());
        let count = (self.endpoints.len() / MASS_CRASH_DIVISOR).max(2);
        for offset in 0..count {
            let index = (first + offset) % self.endpoints.len();
            if self.endpoints[index].down_until.is_none() {
                self.crash_endpoint(index);
            }
        }
    }
}
