//! How configurations spread: from the store to some instances, and from these to a few at a time.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use rand::Rng;

use crate::fleet::Fleet;
use crate::fleet::configuration;
use crate::fleet::organisation;
use crate::links::Host;
use crate::links::TransferId;
use siskinyoke_base::Millis;

/// How many peers an instance sends its configuration at the same time, as in the gateway.
const MAX_TRANSFERS: usize = 3;

/// Delays and limits in ms, as in the gateway.
const MAX_SLOT_WAIT_MS: u64 = 250;
const BUSY_DELAY: Millis = Millis(60);
const FAILURE_DELAY: Millis = Millis(3_000);
const FETCH_TIMEOUT_MS: u64 = 500;
const MAX_BODY_GAP_MS: u64 = 700;
const READ_AHEAD_INTERVAL_MS: u64 = 250;

/// The time that four calls of the store take beside a large response, in ms.
const READ_AHEAD_MS: u64 = 350;

/// The rate at which a small instance decodes a configuration.
const DECODED_BYTES_PER_MS: u32 = 4_000;

/// How much smaller a configuration becomes when it is compressed.
const COMPRESSION_RATIO: u32 = 8;

/// A call to a peer for its configuration.
#[derive(Debug, Clone, Copy)]
pub struct ConfigurationFetch {
    // When the call is sent.
    due: u64,
    from: usize,
    state: FetchState,
}

#[derive(Debug, Clone, Copy)]
enum FetchState {
    Waiting,
    // A transfer of the configuration with this version, and when a part of it last arrived.
    Receiving(TransferId, u64, u64),
    // The configuration with this version is in force from this time on.
    Decoding(u64, u64),
}

/// Returns an address that stands for an instance.
pub fn address(index: usize) -> SocketAddr {
    let port = u16::try_from(index).expect("a small fleet") + 1;
    SocketAddr::new(Ipv4Addr::LOCALHOST.into(), port)
}

impl Fleet {
    /// Returns the revision up to which an instance knows everything.
    pub(super) fn watch_revision(&self, index: usize) -> u64 {
        let node = &self.nodes[index];
        node.core
            .store_revision()
            .number
            .min(node.configuration_revision)
    }

    /// Applies the newest configuration up to a revision.
    pub(super) fn apply_configuration(&mut self, index: usize, revision: u64) {
        let version = self.history.configuration_at(revision);
        let node = &mut self.nodes[index];
        node.configuration_revision = node.configuration_revision.max(revision);
        let quota = organisation(0.0, 0.0);
        let configuration = configuration(version, quota);
        node.broadcast_due |= node.core.configure(Millis(self.now), configuration);
    }

    /// Applies small changes at intervals, and ends the watch if a peer has sent the configuration.
    pub(super) fn read_ahead(&mut self, index: usize, watched_from: u64) {
        if self.watch_revision(index) > watched_from {
            self.cancel_watch(index);
            self.nodes[index].watch_due = self.now;
            return;
        }
        let started = self.nodes[index].watch.map_or(0, |it| it.body_started);
        let elapsed = self.now - started;
        if elapsed % (READ_AHEAD_INTERVAL_MS + READ_AHEAD_MS) != READ_AHEAD_MS {
            return;
        }
        let revision = self.history.revision();
        if revision > self.nodes[index].core.store_revision().number {
            self.apply_revisions(index, revision);
        }
    }

    /// Records after a fetch of changes that an instance has the same configuration as a peer.
    pub(super) fn share_configuration_revision(&mut self, from: usize, index: usize) {
        let [sender, receiver] = [from, index].map(|it| &self.nodes[it]);
        let same = sender.core.configuration_version() == receiver.core.configuration_version();
        if same {
            let revision = sender.configuration_revision;
            let node = &mut self.nodes[index];
            node.configuration_revision = node.configuration_revision.max(revision);
        }
    }

    pub(super) fn step_configuration_fetch(&mut self, index: usize) {
        let now = Millis(self.now);
        let known = self.nodes[index].core.configuration_version();
        let Some(fetch) = self.nodes[index].configuration_fetch else {
            // The first read includes the configuration.
            if known > 0 && self.nodes[index].sources.has_newer(now, known) {
                self.begin_configuration_fetch(index, known);
            }
            return;
        };
        if self.now < fetch.due {
            return;
        }
        match fetch.state {
            FetchState::Waiting => self.request_configuration(index, fetch, known),
            FetchState::Receiving(id, version, _) if self.links.is_complete(id) => {
                self.links.finish(id);
                let bytes = self.history.configuration_size(version);
                let ready = self.now + u64::from(bytes / DECODED_BYTES_PER_MS);
                self.set_fetch(index, fetch, FetchState::Decoding(version, ready));
            }
            FetchState::Receiving(id, version, received_at) => {
                if self.nodes[fetch.from].frozen_until <= self.now {
                    let state = FetchState::Receiving(id, version, self.now);
                    self.set_fetch(index, fetch, state);
                } else if self.now >= received_at + MAX_BODY_GAP_MS {
                    self.links.finish(id);
                    self.end_configuration_fetch(index, fetch, FAILURE_DELAY);
                }
            }
            FetchState::Decoding(version, ready) if self.now >= ready => {
                self.nodes[index].configuration_fetch = None;
                let revision = self.nodes[fetch.from].configuration_revision;
                if version > known {
                    self.apply_configuration(index, revision.max(version));
                }
            }
            FetchState::Decoding(..) => {}
        }
    }

    fn begin_configuration_fetch(&mut self, index: usize, known: u64) {
        let sample = self.rng.random_range(0..usize::MAX);
        let node = &mut self.nodes[index];
        let selected = node.sources.select(Millis(self.now), known, sample);
        // Only the first of several requests in a row is delayed.
        let retrying = std::mem::take(&mut node.retrying_fetch);
        let delay = match node.watch {
            _ if retrying => 0,
            Some(_) => 150,
            None => 30,
        };
        node.configuration_fetch = selected.map(|address| ConfigurationFetch {
            due: self.now + delay,
            from: usize::from(address.port()) - 1,
            state: FetchState::Waiting,
        });
    }

    // Starts the transfer if the peer has a slot for it.
    fn request_configuration(&mut self, index: usize, fetch: ConfigurationFetch, known: u64) {
        let peer = &self.nodes[fetch.from];
        let reachable = peer.frozen_until <= self.now
            && !self.is_cut(index, fetch.from)
            && !self.is_cut(fetch.from, index);
        let version = peer.core.configuration_version();
        if !reachable {
            if self.now >= fetch.due + FETCH_TIMEOUT_MS {
                self.end_configuration_fetch(index, fetch, FAILURE_DELAY);
            }
            return;
        }
        if version <= known {
            return self.end_configuration_fetch(index, fetch, FAILURE_DELAY);
        }
        if self.transfers_from(fetch.from) < MAX_TRANSFERS {
            let bytes = self.history.configuration_size(version) / COMPRESSION_RATIO;
            let id = self
                .links
                .start(Host::Instance(fetch.from), Host::Instance(index), bytes);
            let state = FetchState::Receiving(id, version, self.now);
            self.set_fetch(index, fetch, state);
        } else if self.now >= fetch.due + MAX_SLOT_WAIT_MS {
            self.end_configuration_fetch(index, fetch, BUSY_DELAY);
        }
    }

    fn transfers_from(&self, index: usize) -> usize {
        let fetches = self.nodes.iter().filter_map(|it| it.configuration_fetch);
        let is_sent = |it: &ConfigurationFetch| {
            it.from == index && matches!(it.state, FetchState::Receiving(..))
        };
        fetches.filter(is_sent).count()
    }

    fn set_fetch(&mut self, index: usize, fetch: ConfigurationFetch, state: FetchState) {
        let fetch = ConfigurationFetch { state, ..fetch };
        self.nodes[index].configuration_fetch = Some(fetch);
    }

    fn end_configuration_fetch(
        &mut self,
        index: usize,
        fetch: ConfigurationFetch,
        retry_delay: Millis,
    ) {
        let node = &mut self.nodes[index];
        node.configuration_fetch = None;
        node.retrying_fetch = true;
        let source = address(fetch.from);
        node.sources.postpone(Millis(self.now), source, retry_delay);
    }
}
