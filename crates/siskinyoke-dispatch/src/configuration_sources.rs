//! Selection of the peer from which a newer configuration is fetched.
//!
//! A configuration may be a thousand times as large as any other change, and peers send it to each
//! other over links that carry requests, too. Each instance sends it to a few at a time, so the
//! number of instances that have it multiplies with each round. An instance therefore asks any of
//! those that have it, not the one whose report came first.

use std::net::SocketAddr;

use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// How long a peer counts as a source after its last report.
const SOURCE_TTL: Millis = Millis::from_secs(3);

#[derive(Debug, Clone, Copy)]
struct Source {
    version: u64,
    reported_at: Millis,
    // The peer is not asked before this time.
    retry_at: Millis,
}

/// The peers that reported a configuration, with its version.
#[derive(Debug, Default)]
pub struct ConfigurationSources {
    sources: Map<SocketAddr, Source>,
}

impl ConfigurationSources {
    /// Records the version of a peer's configuration.
    pub fn record(&mut self, now: Millis, address: SocketAddr, version: u64) {
        let source = self.sources.entry(address).or_insert(Source {
            version,
            reported_at: now,
            retry_at: Millis::ZERO,
        });
        source.version = version;
        source.reported_at = now;
    }

    /// Records that a peer is not to be asked for a while.
    pub fn postpone(&mut self, now: Millis, address: SocketAddr, delay: Millis) {
        if let Some(source) = self.sources.get_mut(&address) {
            source.retry_at = now + delay;
        }
    }

    /// Returns whether any peer has a newer configuration, even if it is not to be asked now.
    pub fn has_newer(&self, now: Millis, known: u64) -> bool {
        self.newer(now, known).next().is_some()
    }

    /// Returns a peer to ask for a configuration newer than the known version; `sample` is a random
    /// number.
    pub fn select(&self, now: Millis, known: u64, sample: usize) -> Option<SocketAddr> {
        let newer = self.newer(now, known);
        let available = newer.filter(|row| row.1.retry_at <= now).map(|row| *row.0);
        let mut available: Vec<SocketAddr> = available.collect();
        available.sort_unstable();
        let index = sample.checked_rem(available.len())?;
        Some(available[index])
    }

    /// Removes peers that no longer report.
    pub fn remove_expired(&mut self, now: Millis) {
        self.sources
            .retain(|_, it| now.since(it.reported_at) <= SOURCE_TTL);
    }

    fn newer(&self, now: Millis, known: u64) -> impl Iterator<Item = (&SocketAddr, &Source)> {
        let is_newer =
            move |it: &Source| it.version > known && now.since(it.reported_at) <= SOURCE_TTL;
        self.sources.iter().filter(move |row| is_newer(row.1))
    }
}
