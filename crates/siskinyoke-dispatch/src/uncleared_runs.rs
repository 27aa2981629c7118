//! Requests that ended with a response which does not show that the endpoint bears them.
//!
//! An endpoint may respond with an error, or with a body whose end nobody marks, and crash a moment
//! later. The connection broke under no request then, so the crash is blamed on those that ended
//! there shortly before.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::PromptParts;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// How long after the end of a run its endpoint may crash because of it.
const CRASH_DELAY: Millis = Millis(100);

/// How long after the end of a run a connection to its endpoint may fail because of such a crash.
const FAILURE_PERIOD: Millis = Millis(2_000);

/// How long after such a crash the start is known to be gone: when its entry has expired or its
/// successor has registered.
const GONE_PERIOD: Millis = Millis::from_secs(10);

/// The maximum number of runs kept for each endpoint; the earliest is dropped first.
const MAX_RUNS: usize = 16;

/// A request that ended at an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) fingerprint: u64,
    pub(crate) service: Arc<str>,
    /// The parts of its prompt that the response has not cleared.
    pub(crate) parts: PromptParts,
    pub(crate) ended_at: Millis,
}

/// Requests that ended with a response which does not show that the endpoint bears them, by the
/// short key of the endpoint.
#[derive(Debug, Default)]
pub(crate) struct UnclearedRuns {
    endpoints: Map<u32, VecDeque<Run>>,
}

impl UnclearedRuns {
    /// Returns whether no run is kept.
    pub(crate) fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Records that a request ended.
    pub(crate) fn record(&mut self, endpoint: u32, run: Run) {
        let runs = self.endpoints.entry(endpoint).or_default();
        if runs.len() >= MAX_RUNS {
            runs.pop_front();
        }
        runs.push_back(run);
    }

    /// Records that an endpoint responded to a request sent at `sent_at`, so that it did not crash
    /// because of the requests that ended well before that.
    pub(crate) fn record_response(&mut self, endpoint: u32, sent_at: Millis) {
        let Some(runs) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        runs.retain(|it| it.ended_at + CRASH_DELAY > sent_at);
        if runs.is_empty() {
            self.endpoints.remove(&endpoint);
        }
    }

    /// Removes the runs at an endpoint to which a connection failed, and returns those that ended
    /// shortly before.
    pub(crate) fn take_failed(&mut self, now: Millis, endpoint: u32) -> Vec<Run> {
        let runs = self.endpoints.remove(&endpoint).unwrap_or_default();
        let recent = |it: &Run| now.since(it.ended_at) < FAILURE_PERIOD;
        runs.into_iter().filter(recent).collect()
    }

    /// Removes and returns the requests that were the last ones at endpoints that are gone by now,
    /// with the short keys of these.
    pub(crate) fn take_gone(
        &mut self,
        now: Millis,
        is_gone: impl Fn(u32) -> bool,
    ) -> Vec<(u32, Run)> {
        let endpoints: Vec<u32> = self.endpoints.keys().copied().collect();
        let gone = endpoints.into_iter().filter(|it| is_gone(*it));
        let mut taken = Vec::new();
        for endpoint in gone {
            let runs = self.endpoints.remove(&endpoint).unwrap_or_default();
            let runs = runs.into_iter().map(|run| (endpoint, run));
            taken.extend(runs.filter(|row| now.since(row.1.ended_at) < GONE_PERIOD));
        }
        taken
    }

    /// Forgets the runs that are too old to matter.
    pub(crate) fn prune(&mut self, now: Millis) {
        self.endpoints.retain(|_, runs| {
            runs.retain(|it| now.since(it.ended_at) < GONE_PERIOD);
            !runs.is_empty()
        });
    }
}
