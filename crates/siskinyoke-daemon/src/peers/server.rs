//! The transport's handle.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::RwLockReadGuard;
use std::time::Duration;

use bytes::Bytes;
use quinn::Endpoint;
use quinn::IdleTimeout;
use quinn::TransportConfig;
use quinn::VarInt;
use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::runtime::Runtime;

use super::Certificate;
use super::Counters;
use super::Lane;
use super::PeersError;
use super::Trust;
use super::incoming;
use super::link::Link;
use super::link::Queued;
use super::tls;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Map;
use siskinyoke_base::message::Envelope;
use siskinyoke_control::members::MemberAddress;

/// When a silent connection is given up, in milliseconds.
const SILENCE_MS: u32 = 10_000;

/// Bytes that one stream may have on the way.
const STREAM_WINDOW: u32 = 1 << 20;

/// Bytes that a connection may have on the way: more than its two streams, so that the lane
/// of work cannot use up what the control lane needs.
const WINDOW: u32 = 4 << 20;

/// How long the last messages may take when the transport stops.
const FLUSH_ALL: Duration = Duration::from_secs(2);

/// How long the threads may take to end.
const CLOSE: Duration = Duration::from_millis(200);

/// Takes what the transport has to tell; called on its threads, so it must not block.
pub type Sink = Box<dyn Fn(PeerEvent) + Send + Sync>;

/// What the transport has to tell.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerEvent {
    /// A message came from a known peer.
    Received {
        /// The message.
        envelope: Envelope,
        /// Fingerprint of the sender's certificate.
        fingerprint: [u8; 32],
    },
    /// Work messages to a peer were lost; which ones arrived is not known.
    Broken {
        /// The peer.
        instance: InstanceId,
    },
    /// A stranger was refused; it may be a newcomer that the list does not show yet.
    Refused {
        /// Where it came from.
        address: SocketAddr,
    },
}

/// How the transport is set up.
#[derive(Debug, Clone)]
pub struct PeersSettings {
    /// Address to listen on and to send from.
    pub listen: SocketAddr,
    /// Threads that carry messages.
    pub threads: usize,
}

/// What the tasks of the transport share.
pub(super) struct Shared {
    pub(super) certificate: Certificate,
    pub(super) counters: Arc<Counters>,
    pub(super) endpoint: Endpoint,
    pub(super) handle: Handle,
    pub(super) sink: Sink,
    trust: RwLock<Trust>,
    transport: Arc<TransportConfig>,
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shared").finish_non_exhaustive()
    }
}

impl Shared {
    pub(super) fn trust(&self) -> RwLockReadGuard<'_, Trust> {
        self.trust.read().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn with_transport(&self, mut config: quinn::ClientConfig) -> quinn::ClientConfig {
        config.transport_config(Arc::clone(&self.transport));
        config
    }
}

/// The transport between daemons.
#[derive(Debug)]
pub struct Peers {
    shared: Arc<Shared>,
    links: Mutex<Map<InstanceId, Link>>,
    runtime: Option<Runtime>,
}

impl Peers {
    /// Starts listening.
    ///
    /// # Errors
    ///
    /// [`PeersError`] if the address, the threads or the encryption cannot be had.
    pub fn start(
        settings: &PeersSettings,
        certificate: Certificate,
        sink: Sink,
    ) -> Result<Self, PeersError> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(settings.threads.max(1))
            .thread_name("peers")
            .enable_all()
            .build()
            .map_err(PeersError::Runtime)?;
        let transport = Arc::new(transport());
        let mut server = tls::server(&certificate)?;
        server.transport_config(Arc::clone(&transport));
        let endpoint = {
            let _entered = runtime.enter();
            Endpoint::server(server, settings.listen)
                .map_err(|err| PeersError::Bind(settings.listen, err))?
        };
        let shared = Arc::new(Shared {
            certificate,
            counters: Arc::default(),
            endpoint,
            handle: runtime.handle().clone(),
            sink,
            trust: RwLock::default(),
            transport,
        });
        runtime.spawn(accept(Arc::clone(&shared)));
        Ok(Self {
            shared,
            links: Mutex::default(),
            runtime: Some(runtime),
        })
    }

    /// Sends an envelope, or drops it if the peer's queue is full; returns false if dropped.
    ///
    /// Work that is lost later is told by [`PeerEvent::Broken`].
    pub fn send(&self, peer: &MemberAddress, envelope: &Envelope) -> bool {
        let Ok(frame) = postcard::to_stdvec(envelope) else {
            return false;
        };
        let lane = Lane::of(&envelope.message);
        let queued = self.queue(peer, lane, Bytes::from(frame));
        if queued != Queued::Yes {
            self.shared.counters.add_dropped(lane);
        }
        queued == Queued::Yes
    }

    /// Sets which peers are let in.
    pub fn trust(&self, trust: Trust) {
        let mut held = self.shared.trust.write();
        let held = held.as_deref_mut();
        if let Ok(held) = held {
            *held = trust;
        }
    }

    /// Returns the fingerprint of this daemon's certificate.
    pub fn local_fingerprint(&self) -> [u8; 32] {
        self.shared.certificate.fingerprint()
    }

    /// Returns the address that peers reach.
    ///
    /// # Errors
    ///
    /// [`std::io::Error`] if the socket is gone.
    pub fn local_address(&self) -> std::io::Result<SocketAddr> {
        self.shared.endpoint.local_addr()
    }

    /// Returns the counts of messages carried and refused.
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    /// Sends what is queued, for a second or two at most, and closes all connections.
    ///
    /// Returns the counts, which are final then.
    pub fn stop(mut self) -> Arc<Counters> {
        self.close();
        Arc::clone(&self.shared.counters)
    }

    fn queue(&self, peer: &MemberAddress, lane: Lane, frame: Bytes) -> Queued {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let held = links.get(&peer.instance).filter(|link| link.leads_to(peer));
        let queued = held.map_or(Queued::Closed, |link| link.queue(lane, frame.clone()));
        if queued != Queued::Closed {
            return queued;
        }
        let link = Link::open(&self.shared, peer.clone());
        let queued = link.queue(lane, frame);
        links.insert(peer.instance.clone(), link);
        queued
    }

    fn close(&mut self) {
        let Some(runtime) = self.runtime.take() else {
            return;
        };
        let links = std::mem::take(&mut *self.links.lock().unwrap_or_else(PoisonError::into_inner));
        let tasks = links.into_values().map(Link::finish);
        let flushed = futures_util::future::join_all(tasks);
        let _ = runtime.block_on(async { tokio::time::timeout(FLUSH_ALL, flushed).await });
        self.shared.endpoint.close(0u32.into(), b"stopping");
        runtime.shutdown_timeout(CLOSE);
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        self.close();
    }
}

async fn accept(shared: Arc<Shared>) {
    while let Some(incoming) = shared.endpoint.accept().await {
        tokio::spawn(incoming::serve(Arc::clone(&shared), incoming));
    }
}

fn transport() -> TransportConfig {
    // The search for larger datagrams is off: it costs 11 kB for each connection, three times
    // the handshake, and messages between daemons are small.
    let mut config = TransportConfig::default();
    let silence = IdleTimeout::from(VarInt::from_u32(SILENCE_MS));
    config
        .max_idle_timeout(Some(silence))
        .mtu_discovery_config(None)
        .stream_receive_window(STREAM_WINDOW.into())
        .receive_window(WINDOW.into())
        .send_window(u64::from(WINDOW))
        .max_concurrent_bidi_streams(0u32.into())
        .max_concurrent_uni_streams(4u32.into());
    config
}
