//! Requests that may have run at an endpoint without a response which shows that it bears them.
//!
//! An endpoint may respond with an error, or with a body whose end nobody marks, and crash a moment
//! later. The connection broke under no request then, so the crash is blamed on those that ended
//! there shortly before. An endpoint may also fall silent: an attempt that stalls, or that its caller
//! ends, says nothing of the request until the endpoint is known to be gone.

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
const MAX_RUNS: usize = 64;

/// A request that ended at an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) fingerprint: u64,
    pub(crate) service: Arc<str>,
    /// The parts of its prompt that the response has not cleared.
    pub(crate) parts: PromptParts,
    pub(crate) sent_at: Millis,
    pub(crate) ended_at: Millis,
    /// Whether the attempt ended without a response. A broken connection to the endpoint is no
    /// evidence then, as the link may be at fault for both.
    pub(crate) silent: bool,
}

impl Run {
    // Returns whether a crash that is noticed now may be the fault of this run.
    fn is_recent(&self, now: Millis) -> bool {
        now.since(self.ended_at) < FAILURE_PERIOD
    }
}

/// Requests that may have run at an endpoint without a response which shows that it bears them, by
/// the short key of the endpoint.
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

    /// Removes the runs with a response at an endpoint to which a connection failed, and returns those
    /// that ended shortly before.
    pub(crate) fn take_failed(&mut self, now: Millis, endpoint: u32) -> Vec<Run> {
        let Some(runs) = self.endpoints.get_mut(&endpoint) else {
            return Vec::new();
        };
        let all = std::mem::take(runs).into_iter();
        let (silent, answered): (VecDeque<Run>, VecDeque<Run>) = all.partition(|it| it.silent);
        if silent.is_empty() {
            self.endpoints.remove(&endpoint);
        } else {
            *runs = silent;
        }
        answered
            .into_iter()
            .filter(|it| it.is_recent(now))
            .collect()
    }

    /// Removes the runs at an endpoint that refuses connections, so that its process has ended, and
    /// returns those that ended shortly before.
    pub(crate) fn take_refused(&mut self, now: Millis, endpoint: u32) -> Vec<Run> {
        let runs = self.endpoints.remove(&endpoint).unwrap_or_default();
        runs.into_iter().filter(|it| it.is_recent(now)).collect()
    }

    /// Removes the requests that were the last ones at endpoints that are gone by now, and returns them
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
