//! Stories of the transport between daemons, over the loopback interface.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;

use bytes::Bytes;

use siskinyoke_base::DataCentre;
use siskinyoke_base::Incarnation;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_base::message::Envelope;
use siskinyoke_base::message::MemberDigest;
use siskinyoke_base::message::MemberRecord;
use siskinyoke_base::message::MemberState;
use siskinyoke_base::message::Message;
use siskinyoke_control::members::MemberAddress;
use siskinyoke_daemon::peers::Certificate;
use siskinyoke_daemon::peers::Lane;
use siskinyoke_daemon::peers::PeerEvent;
use siskinyoke_daemon::peers::Peers;
use siskinyoke_daemon::peers::PeersSettings;
use siskinyoke_daemon::peers::Trust;

/// Far longer than anything here takes; only a test that fails waits for it.
const LIMIT: Duration = Duration::from_secs(20);

struct Daemon {
    name: InstanceId,
    peers: Peers,
    events: mpsc::Receiver<PeerEvent>,
}

impl Daemon {
    fn start(name: &str) -> Self {
        Self::start_at(name, "127.0.0.1:0".parse().expect("an address"))
    }

    fn start_at(name: &str, listen: SocketAddr) -> Self {
        let (sender, events) = mpsc::channel();
        let settings = PeersSettings { listen, threads: 1 };
        let certificate = Certificate::generate().expect("a certificate");
        let sink = Box::new(move |event| {
            let _ = sender.send(event);
        });
        let peers = Peers::start(&settings, certificate, sink).expect("it starts");
        Self {
            name: InstanceId::new(name),
            peers,
            events,
        }
    }

    fn address(&self) -> SocketAddr {
        self.peers.local_address().expect("it listens")
    }

    fn pinned(&self) -> MemberAddress {
        MemberAddress {
            instance: self.name.clone(),
            address: self.address().to_string(),
            fingerprint: Some(self.peers.local_fingerprint()),
        }
    }

    fn listed(&self) -> MemberAddress {
        MemberAddress {
            fingerprint: None,
            ..self.pinned()
        }
    }

    fn pins(&self, others: &[&Self]) {
        let mut trust = Trust::default();
        for other in others {
            let print = other.peers.local_fingerprint();
            trust.pinned.insert(print, other.name.clone());
        }
        self.peers.trust(trust);
    }

    fn lists(&self, other: &Self) {
        let mut trust = Trust::default();
        trust.listed.insert(other.address(), other.name.clone());
        self.peers.trust(trust);
    }

    fn says(&self, message: Message) -> Envelope {
        Envelope {
            from: self.name.clone(),
            incarnation: Incarnation(1),
            revision: 1,
            message,
        }
    }

    fn introduction(&self) -> Envelope {
        self.introduction_with(self.peers.local_fingerprint())
    }

    fn introduction_with(&self, fingerprint: [u8; 32]) -> Envelope {
        let own = MemberRecord {
            instance: self.name.clone(),
            incarnation: Incarnation(1),
            beat: 1,
            state: MemberState::Live,
            peer: self.address().to_string(),
            caller: String::new(),
            centre: DataCentre::new("muscat-a"),
            fingerprint,
        };
        self.says(Message::Members(MemberDigest {
            members: vec![own],
            ping: true,
        }))
    }

    fn next(&self) -> PeerEvent {
        self.events.recv_timeout(LIMIT).expect("something comes")
    }

    fn received(&self) -> Envelope {
        match self.next() {
            PeerEvent::Received { envelope, .. } => envelope,
            other => panic!("expected a message, got {other:?}"),
        }
    }
}

fn threshold(round: u64) -> Message {
    Message::Threshold {
        rank: Some(1),
        span: Millis(500),
        round,
    }
}

fn documents(bytes: usize) -> Message {
    Message::Documents {
        manifest: Bytes::from(vec![7; bytes]),
        pages: Vec::new(),
    }
}

/// Sends until `done`; the first sendings may meet a peer that is not ready for them.
fn until(mut send: impl FnMut(), done: impl Fn() -> bool) {
    for _ in 0..200 {
        if done() {
            return;
        }
        send();
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("it never came about");
}

#[test]
fn pinned_peers_exchange_messages_both_ways() {
    let (a, b) = (Daemon::start("a"), Daemon::start("b"));
    a.pins(&[&b]);
    b.pins(&[&a]);
    assert!(a.peers.send(&b.pinned(), &a.says(threshold(1))));
    assert_eq!(b.received(), a.says(threshold(1)));
    assert!(b.peers.send(&a.pinned(), &b.says(documents(100_000))));
    assert_eq!(a.received(), b.says(documents(100_000)));
    let sent = b.peers.counters().totals(Lane::Work).sent;
    assert!(sent > 100_000);
    assert_eq!(a.peers.counters().totals(Lane::Work).received, sent);
}

/// A process that is none of ours asks a daemon to run requests.
/// It speaks the protocol and has a certificate, which no member's record names; its address is
/// not on the list either. It is refused before anything is read.
#[test]
fn a_stranger_is_refused() {
    let (stranger, b) = (Daemon::start("a"), Daemon::start("b"));
    stranger.peers.send(&b.pinned(), &stranger.introduction());
    let PeerEvent::Refused { address } = b.next() else {
        panic!("it was let in");
    };
    assert_eq!(address, stranger.address());
    assert_eq!(b.peers.counters().refused(), 1);
    assert_eq!(b.peers.counters().totals(Lane::Control).received, 0);
}

/// A new instance cannot join in an outage of the platform.
/// It made its certificate a second ago and nobody knows it, but its address is on the list.
/// It may introduce itself, and do nothing else until its certificate is pinned.
#[test]
fn a_listed_newcomer_may_only_introduce_itself() {
    let (newcomer, b) = (Daemon::start("a"), Daemon::start("b"));
    b.lists(&newcomer);
    newcomer
        .peers
        .send(&b.listed(), &newcomer.says(threshold(1)));
    newcomer.peers.send(&b.listed(), &newcomer.introduction());
    assert_eq!(b.received(), newcomer.introduction());
    assert_eq!(b.peers.counters().forged(), 1);
    b.pins(&[&newcomer]);
    newcomer
        .peers
        .send(&b.listed(), &newcomer.says(threshold(2)));
    assert_eq!(b.received(), newcomer.says(threshold(2)));
}

/// One member answers for requests of another.
/// Its certificate is its own, but its messages name the other as their sender.
#[test]
fn a_member_cannot_speak_in_anothers_name() {
    let (a, b) = (Daemon::start("a"), Daemon::start("b"));
    b.pins(&[&a]);
    let mut forged = a.says(threshold(1));
    forged.from = InstanceId::new("c");
    a.peers.send(&b.pinned(), &forged);
    a.peers.send(&b.pinned(), &a.introduction_with([9; 32]));
    a.peers.send(&b.pinned(), &a.says(threshold(2)));
    assert_eq!(b.received(), a.says(threshold(2)));
    assert_eq!(b.peers.counters().forged(), 2);
}

/// Requests go to a machine that took over a peer's address.
/// Its certificate is not the one that the peer's record names; nothing is sent to it, and the
/// sender learns that its work was lost.
#[test]
fn a_machine_at_a_peers_address_gets_nothing() {
    let (a, b) = (Daemon::start("a"), Daemon::start("b"));
    b.pins(&[&a]);
    let wrong = MemberAddress {
        fingerprint: Some([1; 32]),
        ..b.pinned()
    };
    a.peers.send(&wrong, &a.says(documents(10)));
    let broken = PeerEvent::Broken {
        instance: b.name.clone(),
    };
    assert_eq!(a.next(), broken);
    assert_eq!(b.peers.counters().totals(Lane::Work).received, 0);
}

/// A daemon's heartbeats come late and its peers take it for dead.
/// It is sending many megabytes of answers to the same peer at that time.
/// Small messages have their own lane and go first.
#[test]
fn control_does_not_wait_behind_work() {
    const LARGE: usize = 100;
    let (a, b) = (Daemon::start("a"), Daemon::start("b"));
    b.pins(&[&a]);
    a.peers.send(&b.pinned(), &a.says(threshold(0)));
    assert_eq!(b.received(), a.says(threshold(0)));
    for _ in 0..LARGE {
        assert!(a.peers.send(&b.pinned(), &a.says(documents(1 << 20))));
    }
    a.peers.send(&b.pinned(), &a.says(threshold(1)));
    let mut before = 0;
    while b.received() != a.says(threshold(1)) {
        before += 1;
    }
    assert!(before < LARGE / 2, "{before} large messages went first");
}

/// Memory fills with answers to a peer that takes none.
/// The peer is gone but not yet known to be; the queue is bounded, the sender is told.
#[test]
fn a_full_queue_is_told_to_the_sender() {
    let a = Daemon::start("a");
    let nowhere = MemberAddress {
        instance: InstanceId::new("gone"),
        address: "127.0.0.1:9".to_owned(),
        fingerprint: Some([1; 32]),
    };
    let sent = (0..1000).filter(|_| a.peers.send(&nowhere, &a.says(documents(10))));
    assert!(sent.count() < 1000);
    assert!(a.peers.counters().totals(Lane::Work).dropped > 0);
}

/// A peer that was restarted is never reached again.
/// It has the same address and a new certificate, which a member's record now names.
#[test]
fn a_restarted_peer_is_reached_by_its_new_certificate() {
    let (a, old) = (Daemon::start("a"), Daemon::start("b"));
    old.pins(&[&a]);
    a.peers.send(&old.pinned(), &a.says(threshold(1)));
    assert_eq!(old.received(), a.says(threshold(1)));
    let address = old.address();
    old.peers.stop();
    let new = Daemon::start_at("b", address);
    new.pins(&[&a]);
    let reached = || new.peers.counters().totals(Lane::Control).received > 0;
    until(
        || {
            a.peers.send(&new.pinned(), &a.says(threshold(2)));
        },
        reached,
    );
    assert_eq!(new.received(), a.says(threshold(2)));
}
