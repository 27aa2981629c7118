//! What the transport between daemons costs on the wire, in time and in memory.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Network;
use crate::cost;
use crate::network::record;
use siskinyoke_base::Incarnation;
use siskinyoke_base::InstanceId;
use siskinyoke_base::message::Envelope;
use siskinyoke_base::message::MemberDigest;
use siskinyoke_base::message::Message;
use siskinyoke_control::members::MemberAddress;
use siskinyoke_daemon::peers::Certificate;
use siskinyoke_daemon::peers::Peers;
use siskinyoke_daemon::peers::PeersError;
use siskinyoke_daemon::peers::PeersSettings;
use siskinyoke_daemon::peers::Trust;

/// Longest wait for messages on the way.
const WAIT: Duration = Duration::from_secs(20);

/// Time between two messages, so that each takes a datagram of its own as heartbeats do.
const APART: Duration = Duration::from_millis(3);

struct End {
    name: InstanceId,
    peers: Peers,
    heard: Arc<AtomicUsize>,
}

/// Prints one line for each number of connections and of messages on each.
///
/// # Errors
///
/// [`PeersError`] if a transport cannot be started.
pub fn run(connections: &[usize], messages: &[usize]) -> Result<(), PeersError> {
    println!(
        "| connections | messages on each | message bytes | datagram bytes/message (both ways) | µs/message | ms/connection | KB/connection (both ends) |"
    );
    println!("|---|---|---|---|---|---|---|");
    for count in connections {
        line(*count, 1)?;
    }
    for count in messages {
        line(1, *count)?;
    }
    Ok(())
}

fn line(connections: usize, messages: usize) -> Result<(), PeersError> {
    let centre = End::start(0)?;
    let others: Vec<End> = (1..=connections)
        .map(End::start)
        .collect::<Result<_, _>>()?;
    let mut trust = Trust::default();
    for other in &others {
        trust
            .pinned
            .insert(other.peers.local_fingerprint(), other.name.clone());
    }
    centre.peers.trust(trust);
    let to = centre.address();
    let (memory, processor) = (cost::resident(), cost::process_secs());
    let mut bytes = 0;
    for other in &others {
        for _ in 0..messages {
            let envelope = other.digest();
            bytes = postcard::to_stdvec(&envelope).map_or(0, |frame| frame.len());
            other.peers.send(&to, &envelope);
            if messages > 1 {
                std::thread::sleep(APART);
            }
        }
    }
    centre.wait(connections * messages, true);
    let processor = cost::process_secs() - processor;
    let memory = cost::resident().saturating_sub(memory);
    let mut datagrams = 0;
    for other in others {
        let counters = other.peers.stop();
        datagrams += counters.wire().sent + counters.wire().received;
    }
    let sent = (connections * messages) as f64;
    println!(
        "| {connections} | {messages} | {bytes} | {:.0} | {:.0} | {:.2} | {:.0} |",
        datagrams as f64 / sent,
        processor * 1e6 / sent,
        processor * 1e3 / connections as f64,
        memory as f64 / 1e3 / connections as f64,
    );
    Ok(())
}

impl End {
    fn start(number: usize) -> Result<Self, PeersError> {
        let heard = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&heard);
        let settings = PeersSettings {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            threads: 1,
        };
        let sink = Box::new(move |_| {
            counter.fetch_add(1, Ordering::Relaxed);
        });
        let peers = Peers::start(&settings, Certificate::generate()?, sink)?;
        Ok(Self {
            name: Network::name(number),
            peers,
            heard,
        })
    }

    fn address(&self) -> MemberAddress {
        let address = self.peers.local_address();
        MemberAddress {
            instance: self.name.clone(),
            address: address
                .map(|address| address.to_string())
                .unwrap_or_default(),
            fingerprint: Some(self.peers.local_fingerprint()),
        }
    }

    fn digest(&self) -> Envelope {
        let mut own = record(&self.name, Incarnation(u64::MAX / 3));
        own.fingerprint = self.peers.local_fingerprint();
        own.beat = 100_000;
        let members = vec![own.clone(), own.clone(), own];
        Envelope {
            from: self.name.clone(),
            incarnation: Incarnation(u64::MAX / 3),
            revision: 100_000,
            message: Message::Members(MemberDigest {
                members,
                ping: true,
            }),
        }
    }

    fn wait(&self, count: usize, wanted: bool) {
        let start = std::time::Instant::now();
        while wanted && self.heard.load(Ordering::Relaxed) < count && start.elapsed() < WAIT {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}
