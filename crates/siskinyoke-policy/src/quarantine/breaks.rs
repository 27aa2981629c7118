//! Tells a process that died from a connection that was cut.

use std::collections::BTreeMap;

use super::Digest;
use super::InFlight;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Millis;

/// Within this span after a break, a refused connection shows that the process died.
const PROOF_SPAN: Millis = Millis::from_secs(3);

/// Breaks within this span of each other happened together.
const TOGETHER: Millis = Millis(250);

/// Time between two tries to connect to an endpoint that broke off, in milliseconds.
const PROBE_GAP: Millis = Millis(200);

/// Breaks whose cause is not known yet, by endpoint.
///
/// When a process dies, its host resets all connections at once and refuses new ones. A cut
/// network or a lost machine refuses nothing: tries to connect run out of time. A connection
/// that was cut alone leaves the others and new ones standing.
#[derive(Debug, Default)]
pub struct Breaks {
    pending: BTreeMap<EndpointId, Vec<Break>>,
}

#[derive(Debug)]
struct Break {
    at: Millis,
    request: InFlight,
}

impl Breaks {
    /// Notes a break.
    pub fn broke(&mut self, now: Millis, endpoint: &EndpointId, request: InFlight) {
        self.expire(now);
        let breaks = self.pending.entry(endpoint.clone()).or_default();
        breaks.push(Break { at: now, request });
    }

    /// Takes out what was in flight on a process that died, as a refused connection shows.
    pub fn refused(&mut self, now: Millis, endpoint: &EndpointId) -> Option<Vec<InFlight>> {
        self.expire(now);
        let breaks = self.pending.remove(endpoint)?;
        Some(breaks.into_iter().map(|entry| entry.request).collect())
    }

    /// Settles the breaks of an endpoint that accepts connections.
    ///
    /// Returns what broke, and whether the process died: one break was a cut connection, several
    /// together were a process that died and was back before the first try to connect.
    pub fn reached(&mut self, now: Millis, endpoint: &EndpointId) -> Option<(Vec<InFlight>, bool)> {
        self.expire(now);
        let breaks = self.pending.remove(endpoint)?;
        let first = breaks.first()?.at;
        let last = breaks.last()?.at;
        let died = breaks.len() > 1 && last.since(first) <= TOGETHER;
        let requests = breaks.into_iter().map(|entry| entry.request).collect();
        Some((requests, died))
    }

    /// Returns the endpoints whose breaks are not explained yet and are old enough for a try.
    pub fn probes(&self, now: Millis) -> Vec<EndpointId> {
        let open = |breaks: &Vec<Break>| {
            let last = breaks.last().map_or(Millis::ZERO, |entry| entry.at);
            let age = now.since(last);
            age >= PROBE_GAP && age < PROOF_SPAN
        };
        let all = self.pending.iter();
        all.filter(|(_, breaks)| open(breaks))
            .map(|(endpoint, _)| endpoint.clone())
            .collect()
    }

    /// Returns an endpoint that broke off with a content, if the cause is not known yet.
    pub fn open(&self, digest: &Digest) -> Option<&EndpointId> {
        let holds =
            |breaks: &Vec<Break>| breaks.iter().any(|entry| entry.request.digest == *digest);
        let open = self.pending.iter().find(|(_, breaks)| holds(breaks));
        open.map(|(endpoint, _)| endpoint)
    }

    /// Tells whether a content broke off and the cause is not known yet.
    pub fn holds(&self, now: Millis, digest: &Digest) -> bool {
        let fresh =
            |entry: &Break| entry.request.digest == *digest && now.since(entry.at) < PROOF_SPAN;
        self.pending.values().flatten().any(fresh)
    }

    /// Forgets the breaks of a content that has run to its end since.
    pub fn forget(&mut self, digest: &Digest) {
        for breaks in self.pending.values_mut() {
            breaks.retain(|entry| entry.request.digest != *digest);
        }
        self.pending.retain(|_, breaks| !breaks.is_empty());
    }

    /// Forgets breaks that nothing explained: no proof, no suspicion.
    pub fn expire(&mut self, now: Millis) {
        for breaks in self.pending.values_mut() {
            breaks.retain(|entry| now.since(entry.at) < PROOF_SPAN);
        }
        self.pending.retain(|_, breaks| !breaks.is_empty());
    }
}
