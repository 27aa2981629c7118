//! What instances tell each other about the versions at which streams began.
//!
//! An instance tells a few others when a stream begins there, before it forwards the first event.
//! When the caller returns to an instance that has no record of the stream, that one asks those
//! others, and then all instances, as the one at which it began may still be running.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::clock::BootClock;
use crate::peer_socket::PeerSocket;
use crate::view_confirmation::ViewConfirmation;
use siskinyoke_base::Clock;
use siskinyoke_base::Map;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Message;
use siskinyoke_dispatch::StreamKey;
use siskinyoke_dispatch::StreamOrigin;
use siskinyoke_dispatch::StreamQuestion;
use siskinyoke_dispatch::VersionKey;
use siskinyoke_dispatch::report::InstanceLocation;

/// How long replies are awaited in each of the two rounds.
///
/// A round trip between data centres takes about 3 ms, and a busy instance replies within some tens
/// of milliseconds.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);

/// The maximum number of records in one message, which then fits into one packet.
const MAX_MESSAGE_RECORDS: usize = 64;

/// The result of a search for the version at which a stream began.
#[derive(Debug, Clone, Copy)]
pub struct Lookup {
    /// What is known of the version.
    pub origin: StreamOrigin,
    /// The number of instances that were asked.
    pub asked: usize,
    /// The number of them that replied in time.
    pub replies: usize,
    /// Whether the view of the store was found to be current; `None` if that does not matter.
    pub view_current: Option<bool>,
}

/// Tells other instances at which versions streams began, and asks them.
#[derive(Debug)]
pub struct StreamLookup {
    core: Rc<RefCell<Core>>,
    socket: PeerSocket,
    view: Rc<ViewConfirmation>,
    // Questions that await replies, by their numbers.
    pending: RefCell<Map<u32, UnboundedSender<StreamOrigin>>>,
}

impl StreamLookup {
    /// Creates the lookup of an instance.
    pub fn new(core: Rc<RefCell<Core>>, socket: PeerSocket, view: Rc<ViewConfirmation>) -> Self {
        Self {
            core,
            socket,
            view,
            pending: RefCell::default(),
        }
    }

    /// Records that a stream begins or goes on here at a version, and tells its holders.
    pub fn announce(&self, key: StreamKey, version: VersionKey) {
        let mut core = self.core.borrow_mut();
        core.record_own_stream(BootClock.now(), key, version);
        let holders = addresses(&core.stream_holders(key));
        drop(core);
        let message = Message::StreamVersions(vec![(key, version)]);
        for holder in holders {
            self.socket.send(holder, &message);
        }
    }

    /// Passes all records on to other instances, as this one shuts down.
    pub fn hand_over(&self) {
        let core = self.core.borrow();
        let mut records: BTreeMap<SocketAddr, Vec<(StreamKey, VersionKey)>> = BTreeMap::new();
        for (key, version, holders) in core.recorded_streams(BootClock.now()) {
            for holder in addresses(&holders) {
                records.entry(holder).or_default().push((key, version));
            }
        }
        drop(core);
        for (holder, records) in records {
            self.send_records(holder, &records);
        }
    }

    /// Passes records on to the instance that writes them to the store, and returns whether that is
    /// another one.
    pub fn pass_to_writer(&self, records: &[(StreamKey, VersionKey)]) -> bool {
        let core = self.core.borrow();
        let Some(writer) = core.stream_writer(BootClock.now()) else {
            return false;
        };
        for address in addresses(&[writer]) {
            self.send_records(address, records);
        }
        true
    }

    fn send_records(&self, to: SocketAddr, records: &[(StreamKey, VersionKey)]) {
        for part in records.chunks(MAX_MESSAGE_RECORDS) {
            let message = Message::StreamVersions(part.to_vec());
            self.socket.send(to, &message);
        }
    }

    /// Searches for the version at which a stream of a service began, here and at other instances.
    ///
    /// Records are searched for first. Without one, and where no endpoint of the recorded version is
    /// known, the view of the store is confirmed. If the version remains unknown, the other
    /// instances are asked: the stream may have begun there.
    pub async fn find(&self, question: StreamQuestion, service: &str) -> Lookup {
        let recorded = Some(self.own_origin(&question)).filter(|it| it.is_recorded());
        let mut lookup = Lookup {
            origin: recorded.unwrap_or(StreamOrigin::Unknown),
            asked: 0,
            replies: 0,
            view_current: None,
        };
        let [first, others] = if lookup.origin.is_recorded() {
            Default::default()
        } else {
            self.rounds(question.key)
        };
        let is_named = question.key != StreamKey::UNNAMED_STREAM;
        if is_named && !lookup.origin.is_recorded() {
            self.ask_round(&first, question, &mut lookup).await;
        }
        if let StreamOrigin::Version(version) = lookup.origin
            && !self.core.borrow().serves_version(service, version)
        {
            lookup.view_current = Some(self.view.confirm().await);
        }
        if lookup.origin.is_recorded() {
            return lookup;
        }
        let claimed = lookup.origin;
        let is_current = self.view.confirm().await;
        lookup.view_current = Some(is_current);
        // Asked only now, as the confirmed view may have brought a record or a gap.
        lookup.origin = self.own_origin(&question);
        if lookup.origin != StreamOrigin::Unknown {
            return lookup;
        }
        lookup.origin = claimed;
        if !is_named {
            self.ask_round(&first, question, &mut lookup).await;
        } else if !is_current || claimed == StreamOrigin::Unknown {
            self.ask_round(&others, question, &mut lookup).await;
        }
        lookup
    }

    async fn ask_round(
        &self,
        instances: &[SocketAddr],
        question: StreamQuestion,
        lookup: &mut Lookup,
    ) {
        let (origin, replies) = self.ask(instances, question).await;
        lookup.asked += instances.len();
        lookup.replies += replies;
        lookup.origin = lookup.origin.merge(origin);
    }

    /// Records what another instance tells about streams.
    pub fn handle_records(&self, records: &[(StreamKey, VersionKey)]) {
        let mut core = self.core.borrow_mut();
        core.record_streams(BootClock.now(), records);
    }

    /// Replies to a question of another instance.
    pub fn handle_question(&self, from: SocketAddr, number: u32, question: &StreamQuestion) {
        let origin = self.own_origin(question);
        self.socket
            .send(from, &Message::StreamOrigin(number, origin));
    }

    /// Passes a reply on to the question with its number. One that comes too late is dropped.
    pub fn handle_reply(&self, number: u32, origin: StreamOrigin) {
        if let Some(sender) = self.pending.borrow().get(&number) {
            // The receiver lives as long as the question is pending.
            let _ = sender.send(origin);
        }
    }

    // Returns the instances to ask, in the order in which they are asked.
    fn rounds(&self, key: StreamKey) -> [Vec<SocketAddr>; 2] {
        let core = self.core.borrow();
        let (first, others) = core.stream_instances(key);
        [addresses(&first), addresses(&others)]
    }

    fn own_origin(&self, question: &StreamQuestion) -> StreamOrigin {
        let core = self.core.borrow();
        core.stream_origin(BootClock.now(), question)
    }

    // Asks instances until one has a record, and returns what they know and how many replied.
    async fn ask(
        &self,
        instances: &[SocketAddr],
        question: StreamQuestion,
    ) -> (StreamOrigin, usize) {
        let mut pending = PendingQuestion::new(&self.pending);
        for instance in instances {
            let message = Message::FindStream(pending.number, question);
            self.socket.send(*instance, &message);
        }
        let deadline = Instant::now() + REPLY_TIMEOUT;
        let mut known = StreamOrigin::Unknown;
        let mut replies = 0;
        for _ in instances {
            match timeout_at(deadline, pending.replies.recv()).await {
                Ok(Some(origin)) => known = known.merge(origin),
                Ok(None) | Err(_) => break,
            }
            replies += 1;
            if known.is_recorded() {
                break;
            }
        }
        (known, replies)
    }
}

// A question that awaits replies, until it is dropped.
struct PendingQuestion<'a> {
    pending: &'a RefCell<Map<u32, UnboundedSender<StreamOrigin>>>,
    number: u32,
    replies: UnboundedReceiver<StreamOrigin>,
}

impl<'a> PendingQuestion<'a> {
    fn new(pending: &'a RefCell<Map<u32, UnboundedSender<StreamOrigin>>>) -> Self {
        let number = rand::random();
        let (sender, replies) = mpsc::unbounded_channel();
        pending.borrow_mut().insert(number, sender);
        Self {
            pending,
            number,
            replies,
        }
    }
}

impl Drop for PendingQuestion<'_> {
    fn drop(&mut self) {
        self.pending.borrow_mut().remove(&self.number);
    }
}

fn addresses(instances: &[&InstanceLocation]) -> Vec<SocketAddr> {
    let addresses = instances.iter().map(|it| it.peer_address.parse());
    addresses.filter_map(Result::ok).collect()
}
