//! Checks the responses that callers received against the requests that endpoints received.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Instant;

use crate::Endpoint;
use crate::stream::StreamHistory;
use crate::unmarked;

/// Whether a request may be repeated, and the form of its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Idempotent: may run more than once.
    Safe,
    /// Non-idempotent: runs at most once.
    Unsafe,
    /// A resumable event stream: another endpoint may continue it.
    Stream,
    /// Idempotent, and the endpoint marks no end of its response.
    Unmarked,
}

/// The result of one request, as seen by its caller.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The request ID.
    pub id: String,
    /// The kind of request.
    pub kind: RequestKind,
    /// All bytes received, as text.
    pub response: String,
}

impl Outcome {
    /// Returns the status code of the response, if one was received.
    pub fn status(&self) -> Option<u16> {
        self.response.get(9..12)?.parse().ok()
    }
}

/// Collects the outcomes of all requests.
#[derive(Debug, Default)]
pub struct Checker {
    outcomes: Mutex<Vec<Outcome>>,
    streams: Mutex<Vec<StreamHistory>>,
}

impl Checker {
    /// Records an outcome.
    ///
    /// # Panics
    ///
    /// If a caller thread has panicked.
    pub fn add(&self, outcome: Outcome) {
        self.outcomes.lock().unwrap().push(outcome);
    }

    /// Records a stream that its caller broke off and took up.
    ///
    /// # Panics
    ///
    /// If a caller thread has panicked.
    pub fn add_stream(&self, stream: StreamHistory) {
        self.streams.lock().unwrap().push(stream);
    }

    /// Returns how many streams were taken up, and how many of them went on.
    ///
    /// # Panics
    ///
    /// If a caller thread has panicked.
    pub fn stream_counts(&self) -> (usize, usize) {
        let streams = self.streams.lock().unwrap();
        let resumed = streams.iter().filter(|it| it.parts.len() > 1);
        let went_on = resumed.clone().filter(|it| it.went_on()).count();
        (resumed.count(), went_on)
    }

    /// Returns how many requests got a response with status 200, and how many did not.
    ///
    /// # Panics
    ///
    /// If a caller thread has panicked.
    pub fn result_counts(&self) -> (usize, usize) {
        let outcomes = self.outcomes.lock().unwrap();
        let served = outcomes
            .iter()
            .filter(|outcome| outcome.status() == Some(200))
            .count();
        (served, outcomes.len() - served)
    }

    /// Returns a description of each violated guarantee; `removals` tells when the last endpoint
    /// left of each version that instances may not have seen.
    ///
    /// # Panics
    ///
    /// If a caller thread has panicked.
    pub fn violations(
        &self,
        endpoints: &[Endpoint],
        removals: &BTreeMap<String, Instant>,
    ) -> Vec<String> {
        let mut run_counts: BTreeMap<String, usize> = BTreeMap::new();
        let requests = endpoints.iter().flat_map(Endpoint::requests);
        for request in requests.filter(|it| !it.rejected) {
            if let Some(id) = request.header("siskinyoke-request-id") {
                *run_counts.entry(id.to_owned()).or_default() += 1;
            }
        }
        let outcomes = self.outcomes.lock().unwrap();
        let violations = outcomes
            .iter()
            .flat_map(|it| check_outcome(it, run_counts.get(&it.id).copied().unwrap_or(0)));
        let streams = self.streams.lock().unwrap();
        violations
            .chain(streams.iter().flat_map(|it| it.violations(removals)))
            .collect()
    }
}

fn check_outcome(outcome: &Outcome, run_count: usize) -> Vec<String> {
    let Outcome { id, kind, response } = outcome;
    let mut violations = Vec::new();
    if *kind == RequestKind::Unsafe && run_count > 1 {
        violations.push(format!(
            "{id}: non-idempotent request ran {run_count} times"
        ));
    }
    let status = outcome.status();
    // These status codes guarantee that the request has not run.
    if run_count > 0
        && *kind == RequestKind::Unsafe
        && matches!(status, Some(408 | 421 | 429 | 503))
    {
        violations.push(format!(
            "{id}: response denies execution, but the request ran: {response:?}"
        ));
    }
    if matches!(status, Some(400..=407 | 409..=420)) {
        violations.push(format!(
            "{id}: rejected although every configuration allows it: {response:?}"
        ));
    }
    if status != Some(200) {
        return violations;
    }
    if !response.contains(&format!("siskinyoke-request-id: {id}\r\n")) {
        violations.push(format!(
            "{id}: response belongs to another request: {response:?}"
        ));
    }
    match kind {
        RequestKind::Stream => violations.extend(check_stream(id, response)),
        RequestKind::Unmarked => violations.extend(unmarked::check_response(id, response)),
        RequestKind::Safe | RequestKind::Unsafe => {}
    }
    violations
}

// Events must be in order and without gaps, and the final chunk may follow only the last event.
fn check_stream(id: &str, response: &str) -> Option<String> {
    let events: Vec<&str> = response
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .collect();
    let expected = ["1", "2", "3", "4"];
    let is_complete = response.ends_with("0\r\n\r\n");
    let is_valid = if is_complete {
        events == expected
    } else {
        expected.starts_with(&events)
    };
    (!is_valid).then(|| format!("{id}: stream events are missing or out of order: {response:?}"))
}
