//! Which peers are known, by certificate or, for the first contact, by address.

use std::net::SocketAddr;

use siskinyoke_base::InstanceId;
use siskinyoke_base::Map;
use siskinyoke_base::message::Envelope;
use siskinyoke_base::message::Message;

/// Peers that are let in.
#[derive(Debug, Default, Clone)]
pub struct Trust {
    /// Instances by the fingerprint that the members' records give.
    pub pinned: Map<[u8; 32], InstanceId>,
    /// Instances by their address for peers on the platform's list, or in the settings.
    pub listed: Map<SocketAddr, InstanceId>,
}

impl Trust {
    /// Tells whether a peer may connect.
    ///
    /// An address counts only because it was used in a handshake that went both ways, so that
    /// a stranger elsewhere cannot borrow it.
    pub fn admits(&self, fingerprint: &[u8; 32], address: &SocketAddr) -> bool {
        self.pinned.contains_key(fingerprint) || self.listed.contains_key(address)
    }

    /// Tells whether an envelope's sender is who its certificate or address says.
    pub fn accepts(
        &self,
        envelope: &Envelope,
        fingerprint: &[u8; 32],
        address: &SocketAddr,
    ) -> bool {
        if let Some(instance) = self.pinned.get(fingerprint) {
            return *instance == envelope.from && own_print_fits(envelope, fingerprint);
        }
        // Guards against work taken from a peer that no member's record vouches for yet: before
        // its certificate is pinned it may only introduce itself.
        let introduces = matches!(envelope.message, Message::Members(_));
        let listed = self.listed.get(address);
        introduces
            && listed.is_some_and(|instance| *instance == envelope.from)
            && own_print_fits(envelope, fingerprint)
    }
}

/// Tells whether a digest gives the fingerprint that its sender has shown.
///
/// Guards against a member who spreads another's certificate as its own: all would pin it, and
/// nobody could reach either.
fn own_print_fits(envelope: &Envelope, fingerprint: &[u8; 32]) -> bool {
    let Message::Members(digest) = &envelope.message else {
        return true;
    };
    let first = digest.members.first();
    first.is_none_or(|own| own.fingerprint == *fingerprint && own.instance == envelope.from)
}
