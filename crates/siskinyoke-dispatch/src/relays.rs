//! Selection of the peers through which requests reach endpoints that this instance has lost.

use crate::peers::Peers;
use crate::report::InstanceLocation;
use crate::report::short_hash;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// The number of relays tried for one attempt of a request.
pub const MAX_RELAYS: usize = 2;

/// By how many relayed requests a relay in another data centre may be less loaded before it is
/// preferred: traffic between data centres is the most expensive.
const REMOTE_PENALTY: usize = 4;

/// How long a relay that failed is not used.
const FAILED_RELAY_BACKOFF: Millis = Millis(1_000);

/// The relays that this instance uses.
#[derive(Debug, Default)]
pub struct Relays {
    // Requests sent to each relay that have not ended, by peer address.
    in_flight: Map<String, usize>,
    // When a relay last failed, by peer address.
    failed: Map<String, Millis>,
}

impl Relays {
    /// Selects the relays for a request of a service, in the order in which to try them.
    ///
    /// Of two candidates, drawn by `seed`, the less loaded one goes first: all instances without
    /// links select from the same reports, and would otherwise all select the same relay.
    pub fn select<'a>(
        &self,
        now: Millis,
        service: &str,
        centre: &str,
        peers: &'a Peers,
        seed: u64,
    ) -> Vec<&'a InstanceLocation> {
        let candidates = candidates(now, service, peers);
        let usable = candidates.filter(|row| !self.is_failed(now, &row.0.peer_address));
        let mut chosen = sample(usable.collect(), seed);
        chosen.sort_by_key(|(location, load)| {
            let remote = usize::from(location.centre != centre);
            let own = self.in_flight.get(&location.peer_address);
            load + own.copied().unwrap_or(0) + remote * REMOTE_PENALTY
        });
        chosen.into_iter().map(|row| row.0).collect()
    }

    /// Records that a request is sent to a relay.
    pub fn request_started(&mut self, relay: &str) {
        *self.in_flight.entry(relay.to_owned()).or_default() += 1;
    }

    /// Records that a request sent to a relay has ended.
    pub fn request_ended(&mut self, relay: &str) {
        if let Some(count) = self.in_flight.get_mut(relay) {
            *count = count.saturating_sub(1);
        }
        self.in_flight.retain(|_, count| *count > 0);
    }

    /// Records that a relay could not be reached or had no link or room itself.
    pub fn record_failure(&mut self, now: Millis, relay: &str) {
        self.failed.insert(relay.to_owned(), now);
    }

    /// Drops failures that no longer count.
    pub fn sweep(&mut self, now: Millis) {
        self.failed
            .retain(|_, at| now.since(*at) < FAILED_RELAY_BACKOFF);
    }

    fn is_failed(&self, now: Millis, relay: &str) -> bool {
        let failed_at = self.failed.get(relay);
        failed_at.is_some_and(|at| now.since(*at) < FAILED_RELAY_BACKOFF)
    }
}

/// Draws up to [`MAX_RELAYS`] of the candidates by a random number.
pub fn sample<T>(mut candidates: Vec<T>, seed: u64) -> Vec<T> {
    let mut rest = usize::try_from(seed >> 1).unwrap_or(0);
    let mut chosen = Vec::new();
    while chosen.len() < MAX_RELAYS && !candidates.is_empty() {
        let count = candidates.len();
        chosen.push(candidates.swap_remove(rest % count));
        rest /= count;
    }
    chosen
}

/// Returns whether a peer that can relay requests of a service reports now.
pub fn has_candidate(now: Millis, service: &str, peers: &Peers) -> bool {
    candidates(now, service, peers).next().is_some()
}

// Returns the peers that relay requests and have links to the service, each with the number of
// requests that it relays.
fn candidates<'a>(
    now: Millis,
    service: &str,
    peers: &'a Peers,
) -> impl Iterator<Item = (&'a InstanceLocation, usize)> {
    let service = short_hash(service);
    peers.fresh(now).filter_map(move |peer| {
        let relay = peer.report.relay.as_ref()?;
        let usable = peer.report.configuration > 0
            && !peer.report.shutting_down
            && !relay.lost_services.contains(&service);
        usable.then(|| (&peer.info.location, usize::from(relay.in_flight)))
    })
}
