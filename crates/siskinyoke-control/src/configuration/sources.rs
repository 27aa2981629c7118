//! The peers that hold a newer revision than this daemon.

use super::seek::Source;
use siskinyoke_base::InstanceId;

/// How many peers are remembered.
const SOURCES_MAX: usize = 8;

/// Peers with a newer revision, the one heard last first.
#[derive(Debug, Default)]
pub struct Sources {
    peers: Vec<(InstanceId, u64)>,
}

impl Sources {
    /// Notes a peer with its revision; returns whether the peer was not noted before.
    pub fn note(&mut self, peer: &InstanceId, revision: u64) -> bool {
        let before = self.peers.len();
        self.peers.retain(|(known, _)| known != peer);
        let new = self.peers.len() == before;
        self.peers.insert(0, (peer.clone(), revision));
        self.peers.truncate(SOURCES_MAX);
        new
    }

    /// Forgets the peers that hold nothing newer than `revision`.
    pub fn forget(&mut self, revision: u64) {
        self.peers.retain(|(_, known)| *known > revision);
    }

    /// Returns whom to ask first: a peer, or the service if none is known.
    pub fn first(&self) -> Source {
        let first = self.peers.first();
        first.map_or(Source::Service, |(peer, _)| Source::Peer(peer.clone()))
    }

    /// Returns whom to ask after `failed`: the other peers in turn, then the service.
    pub fn after(&self, failed: &Source) -> Source {
        let peers = self.peers.iter();
        let mut all: Vec<_> = peers.map(|(peer, _)| Source::Peer(peer.clone())).collect();
        all.push(Source::Service);
        let place = all.iter().position(|source| source == failed);
        all.swap_remove(place.map_or(0, |place| (place + 1) % all.len()))
    }
}
