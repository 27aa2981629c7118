//! The connection from here to one peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use quinn::Connection;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::codec::FramedWrite;

use super::Counters;
use super::Lane;
use super::PeerEvent;
use super::certificate::SERVER_NAME;
use super::codec::codec;
use super::server::Shared;
use super::tls;
use siskinyoke_base::InstanceId;
use siskinyoke_control::members::MemberAddress;

/// Control messages that may wait for one peer: some seconds' worth; older ones are stale.
const CONTROL_QUEUE: usize = 64;

/// Work messages that may wait for one peer: a second of the busiest forwarding.
const WORK_QUEUE: usize = 256;

/// How long a connection attempt may take.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// The first wait after a failed attempt; each further one doubles it.
const FIRST_WAIT: Duration = Duration::from_millis(100);

/// The longest wait after a failed attempt: a peer that is back is found within it.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// When an unused connection is closed: heartbeats to a partner come about every three seconds,
/// and it lies below the transport's own limit of silence, so that only a dead peer meets that.
const IDLE: Duration = Duration::from_secs(8);

/// How long the last messages of a link may take to be acknowledged.
const FLUSH: Duration = Duration::from_secs(1);

/// Queues to one peer; the connection is made when the first message comes.
#[derive(Debug)]
pub struct Link {
    peer: MemberAddress,
    control: mpsc::Sender<Bytes>,
    work: mpsc::Sender<Bytes>,
    task: JoinHandle<()>,
}

/// What has become of a message given to a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Queued {
    /// It waits to be sent.
    Yes,
    /// The queue is full.
    Full,
    /// The link is closed.
    Closed,
}

impl Link {
    /// Opens a link; it closes by itself when it is dropped or idle.
    pub fn open(shared: &Arc<Shared>, peer: MemberAddress) -> Self {
        let (control, control_queue) = mpsc::channel(CONTROL_QUEUE);
        let (work, work_queue) = mpsc::channel(WORK_QUEUE);
        let writer = Writer {
            control: control_queue,
            work: work_queue,
            peer: peer.clone(),
            shared: Arc::clone(shared),
        };
        let task = shared.handle.spawn(writer.run());
        Self {
            peer,
            control,
            work,
            task,
        }
    }

    /// Gives the link up and returns its task, which ends when the last messages are through.
    pub fn finish(self) -> JoinHandle<()> {
        self.task
    }

    /// Tells whether the link leads to this address and certificate.
    pub fn leads_to(&self, peer: &MemberAddress) -> bool {
        self.peer == *peer
    }

    /// Puts a message on a lane.
    pub fn queue(&self, lane: Lane, frame: Bytes) -> Queued {
        let queue = match lane {
            Lane::Control => &self.control,
            Lane::Work => &self.work,
        };
        match queue.try_send(frame) {
            Ok(()) => Queued::Yes,
            Err(TrySendError::Full(_)) => Queued::Full,
            Err(TrySendError::Closed(_)) => Queued::Closed,
        }
    }
}

/// The task behind a link.
struct Writer {
    control: mpsc::Receiver<Bytes>,
    work: mpsc::Receiver<Bytes>,
    peer: MemberAddress,
    shared: Arc<Shared>,
}

impl Writer {
    async fn run(mut self) {
        let mut wait = FIRST_WAIT;
        while let Some(first) = self.first().await {
            let Some(connection) = self.connect().await else {
                self.fail(first.0);
                self.pause(wait).await;
                wait = (wait * 2).min(LONGEST_WAIT);
                continue;
            };
            wait = FIRST_WAIT;
            let session = Session::default();
            let ended = self.carry(&session, &connection, first).await;
            connection.close(0u32.into(), b"");
            self.shared.counters.add_wire(&connection);
            let worked = session.worked.load(Ordering::Relaxed);
            if !ended && (self.drop_queued() || worked) {
                self.tell();
            }
        }
        self.control.close();
        self.work.close();
        if self.drop_queued() {
            self.tell();
        }
    }

    /// Waits for the first message; `None` when the link is given up or idle.
    async fn first(&mut self) -> Option<(Lane, Bytes)> {
        let first = async {
            tokio::select! {
                biased;
                Some(frame) = self.control.recv() => Some((Lane::Control, frame)),
                Some(frame) = self.work.recv() => Some((Lane::Work, frame)),
                else => None,
            }
        };
        tokio::time::timeout(IDLE, first).await.ok()?
    }

    async fn connect(&self) -> Option<Connection> {
        let address: SocketAddr = self.peer.address.parse().ok()?;
        let config = tls::client(&self.shared.certificate, self.peer.fingerprint).ok()?;
        let config = self.shared.with_transport(config);
        let endpoint = &self.shared.endpoint;
        let connecting = endpoint.connect_with(config, address, SERVER_NAME).ok()?;
        self.shared.counters.add_handshake();
        let connection = tokio::time::timeout(CONNECT_LIMIT, connecting).await;
        connection.ok()?.ok()
    }

    /// Sends until the connection breaks (false) or is idle or given up (true).
    async fn carry(
        &mut self,
        session: &Session,
        connection: &Connection,
        first: (Lane, Bytes),
    ) -> bool {
        let (control_first, work_first) = match first {
            (Lane::Control, frame) => (Some(frame), None),
            (Lane::Work, frame) => (None, Some(frame)),
        };
        let counters = &self.shared.counters;
        let open = |lane| Pump {
            session,
            connection,
            counters,
            lane,
        };
        let control = open(Lane::Control).run(control_first, &mut self.control);
        let work = open(Lane::Work).run(work_first, &mut self.work);
        // Each lane waits on its own, so that one without room does not hold up the other.
        let both = async { tokio::join!(control, work) };
        tokio::select! {
            (control, work) = both => control && work,
            () = session.idle() => true,
            _ = connection.closed() => false,
        }
    }

    /// Waits out a pause; what comes meanwhile fails at once.
    async fn pause(&mut self, wait: Duration) {
        let end = Instant::now() + wait;
        loop {
            let lane = tokio::select! {
                Some(_) = self.control.recv() => Lane::Control,
                Some(_) = self.work.recv() => Lane::Work,
                () = tokio::time::sleep_until(end) => return,
            };
            self.fail(lane);
        }
    }

    /// Drops what is queued and returns whether work was among it.
    fn drop_queued(&mut self) -> bool {
        while self.control.try_recv().is_ok() {
            self.shared.counters.add_dropped(Lane::Control);
        }
        let mut worked = false;
        while self.work.try_recv().is_ok() {
            self.shared.counters.add_dropped(Lane::Work);
            worked = true;
        }
        worked
    }

    fn fail(&self, lane: Lane) {
        self.shared.counters.add_dropped(lane);
        if lane == Lane::Work {
            self.tell();
        }
    }

    fn tell(&self) {
        let instance: InstanceId = self.peer.instance.clone();
        (self.shared.sink)(PeerEvent::Broken { instance });
    }
}

/// What has happened on one connection.
#[derive(Debug, Default)]
struct Session {
    used: Notify,
    worked: AtomicBool,
}

impl Session {
    fn note(&self, lane: Lane) {
        self.used.notify_one();
        if lane == Lane::Work {
            self.worked.store(true, Ordering::Relaxed);
        }
    }

    /// Waits until nothing was sent for a while.
    async fn idle(&self) {
        while tokio::time::timeout(IDLE, self.used.notified())
            .await
            .is_ok()
        {}
    }
}

/// Writes one lane's messages to a stream of its own.
struct Pump<'a> {
    session: &'a Session,
    connection: &'a Connection,
    counters: &'a Counters,
    lane: Lane,
}

impl Pump<'_> {
    /// Writes until the stream breaks (false) or the link is given up (true).
    async fn run(self, first: Option<Bytes>, queue: &mut mpsc::Receiver<Bytes>) -> bool {
        let Some(frame) = next(first, queue).await else {
            return true;
        };
        let Ok(stream) = self.connection.open_uni().await else {
            return false;
        };
        let _ = stream.set_priority(self.lane.priority());
        let mut frames = FramedWrite::new(stream, codec());
        let mut pending = Some(frame);
        while let Some(frame) = next(pending.take(), queue).await {
            let bytes = frame.len();
            self.session.note(self.lane);
            if frames.send(frame).await.is_err() {
                return false;
            }
            self.counters.add_sent(self.lane, bytes);
        }
        let mut stream = frames.into_inner();
        let _ = stream.finish();
        let _ = tokio::time::timeout(FLUSH, stream.stopped()).await;
        true
    }
}

async fn next(first: Option<Bytes>, queue: &mut mpsc::Receiver<Bytes>) -> Option<Bytes> {
    match first {
        Some(frame) => Some(frame),
        None => queue.recv().await,
    }
}
