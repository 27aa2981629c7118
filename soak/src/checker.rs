//! What callers got, checked against what endpoints saw.

use std::collections::BTreeMap;
use std::sync::Mutex;

use crate::Endpoint;

/// What may be repeated of a request of the soak.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// It may run more than once.
    Safe,
    /// It runs once at most.
    Unsafe,
    /// A stream that may go on elsewhere.
    Stream,
}

/// What a caller got.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The request's identity.
    pub id: String,
    /// What may be repeated of it.
    pub kind: RequestKind,
    /// All bytes that came back.
    pub response: String,
}

impl Outcome {
    /// Returns the answer's status, if one came.
    pub fn status(&self) -> Option<u16> {
        self.response.get(9..12)?.parse().ok()
    }
}

/// Gathers what callers got.
#[derive(Debug, Default)]
pub struct Checker {
    outcomes: Mutex<Vec<Outcome>>,
}

impl Checker {
    /// Adds what a caller got.
    ///
    /// # Panics
    ///
    /// If a caller's thread panicked before.
    pub fn add(&self, outcome: Outcome) {
        self.outcomes.lock().unwrap().push(outcome);
    }

    /// Returns how many answers were successes, and how many callers got anything else.
    ///
    /// # Panics
    ///
    /// If a caller's thread panicked before.
    pub fn result_counts(&self) -> (usize, usize) {
        let outcomes = self.outcomes.lock().unwrap();
        let good = outcomes
            .iter()
            .filter(|it| it.status() == Some(200))
            .count();
        (good, outcomes.len() - good)
    }

    /// Returns each broken promise, in words.
    ///
    /// # Panics
    ///
    /// If a caller's thread panicked before.
    pub fn violations(&self, endpoints: &[Endpoint]) -> Vec<String> {
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for arrival in endpoints.iter().flat_map(Endpoint::requests) {
            if let Some(id) = arrival.header("siskinyoke-request-id") {
                *runs.entry(id.to_owned()).or_default() += 1;
            }
        }
        let outcomes = self.outcomes.lock().unwrap();
        outcomes
            .iter()
            .flat_map(|it| check_outcome(it, runs.get(&it.id).copied().unwrap_or(0)))
            .collect()
    }
}

fn check_outcome(outcome: &Outcome, runs: usize) -> Vec<String> {
    let Outcome { id, kind, response } = outcome;
    let mut broken = Vec::new();
    if *kind == RequestKind::Unsafe && runs > 1 {
        broken.push(format!("{id} runs once at most and ran {runs} times"));
    }
    let status = outcome.status();
    if runs > 0 && *kind == RequestKind::Unsafe && matches!(status, Some(408 | 421 | 429 | 503)) {
        broken.push(format!(
            "{id} was told that it had not run and ran: {response:?}"
        ));
    }
    if matches!(status, Some(400..=407 | 409..=420)) {
        broken.push(format!(
            "{id} was denied though all configurations allow it: {response:?}"
        ));
    }
    if status != Some(200) {
        return broken;
    }
    if !response.contains(&format!("siskinyoke-request-id: {id}\r\n")) {
        broken.push(format!(
            "{id} got the answer to another request: {response:?}"
        ));
    }
    if *kind == RequestKind::Stream {
        broken.extend(check_stream(id, response));
    }
    broken
}

// The events come in order without a gap, and an end mark only after the last.
fn check_stream(id: &str, answer: &str) -> Option<String> {
    let events: Vec<&str> = answer
        .lines()
        .filter_map(|it| it.strip_prefix("data: "))
        .collect();
    let whole = ["1", "2", "3", "4"];
    let ended = answer.ends_with("0\r\n\r\n");
    let sound = if ended {
        events == whole
    } else {
        whole.starts_with(&events)
    };
    (!sound).then(|| format!("{id} got a stream with a gap, or a false end: {answer:?}"))
}
