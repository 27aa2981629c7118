//! Connections that peers make to this daemon.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::StreamExt;
use quinn::Connection;
use quinn::Incoming;
use quinn::RecvStream;
use rustls::pki_types::CertificateDer;
use tokio_util::codec::FramedRead;

use super::Lane;
use super::PeerEvent;
use super::codec::codec;
use super::fingerprint;
use super::server::Shared;
use siskinyoke_base::message::Envelope;

/// Code with which a stranger's connection is closed.
const STRANGER: u32 = 1;

/// Serves one connection until it ends.
pub async fn serve(shared: Arc<Shared>, incoming: Incoming) {
    let Ok(connection) = incoming.await else {
        return;
    };
    let address = plain(connection.remote_address());
    let print = presented(&connection);
    let known = print.filter(|print| shared.trust().admits(print, &address));
    let Some(print) = known else {
        shared.counters.add_refused();
        connection.close(STRANGER.into(), b"not a known member");
        (shared.sink)(PeerEvent::Refused { address });
        return;
    };
    while let Ok(stream) = connection.accept_uni().await {
        let reader = read(Arc::clone(&shared), stream, print, address);
        tokio::spawn(reader);
    }
    shared.counters.add_wire(&connection);
}

async fn read(shared: Arc<Shared>, stream: RecvStream, print: [u8; 32], address: SocketAddr) {
    let mut frames = FramedRead::new(stream, codec());
    while let Some(Ok(frame)) = frames.next().await {
        let Ok(envelope) = postcard::from_bytes::<Envelope>(&frame) else {
            shared.counters.add_forged();
            return;
        };
        shared
            .counters
            .add_received(Lane::of(&envelope.message), frame.len());
        // Guards against a peer that speaks in another's name, and against one that was
        // replaced while its connection stayed open: who it may be is checked at each message.
        if !shared.trust().accepts(&envelope, &print, &address) {
            shared.counters.add_forged();
            continue;
        }
        (shared.sink)(PeerEvent::Received {
            envelope,
            fingerprint: print,
        });
    }
}

fn presented(connection: &Connection) -> Option<[u8; 32]> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    chain.first().map(|der| fingerprint(der))
}

/// Writes an IPv4 address that came through an IPv6 socket as the list has it.
fn plain(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip().to_canonical(), address.port())
}
