//! Members on a network in virtual time, with seeded loss, delay, freezes, deaths and cuts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use siskinyoke_base::DataCentre;
use siskinyoke_base::Incarnation;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_base::message::Envelope;
use siskinyoke_base::message::MemberDigest;
use siskinyoke_base::message::MemberRecord;
use siskinyoke_base::message::MemberState;
use siskinyoke_base::message::Message;
use siskinyoke_control::Action;
use siskinyoke_control::Context;
use siskinyoke_control::Controller;
use siskinyoke_control::OpId;
use siskinyoke_control::Outbox;
use siskinyoke_control::PlatformError;
use siskinyoke_control::PlatformReply;
use siskinyoke_control::PlatformRequest;
use siskinyoke_control::Sender;
use siskinyoke_control::members::Members;
use siskinyoke_control::platform::ListedInstance;

/// One way over the network, shortest and longest, in milliseconds.
const DELAY: std::ops::RangeInclusive<u64> = 1..=3;

/// What one node has sent.
#[derive(Debug, Default, Clone, Copy)]
pub struct Traffic {
    /// Messages.
    pub messages: u64,
    /// Bytes of the encoded envelopes.
    pub bytes: u64,
    /// Calls of the platform.
    pub calls: u64,
}

/// One daemon's members on the network.
#[derive(Debug)]
pub struct Node {
    /// The machine under test.
    pub members: Members,
    /// What it has sent.
    pub traffic: Traffic,
    /// What it has been told has changed.
    pub changes: Vec<(Option<MemberRecord>, MemberRecord)>,
    outbox: Outbox,
    frozen: bool,
    held: Vec<Event>,
    group: u8,
}

#[derive(Debug, Clone)]
enum Event {
    Tick(Incarnation),
    Deliver(Box<Envelope>),
    Reply(Incarnation, OpId, Result<PlatformReply, PlatformError>),
}

/// Nodes, the messages between them and the platform's instance list.
#[derive(Debug)]
pub struct Network {
    /// The present time.
    pub now: Millis,
    /// Share of messages lost, in parts of 1.
    pub loss: f64,
    /// Whether the platform answers.
    pub platform: bool,
    /// The instance list as the platform shows it.
    pub list: Vec<ListedInstance>,
    nodes: BTreeMap<InstanceId, Node>,
    events: BTreeMap<(Millis, u64), (InstanceId, Event)>,
    sequence: u64,
    starts: u64,
    rng: ChaCha8Rng,
}

impl Network {
    /// Makes an empty network.
    pub fn new(seed: u64) -> Self {
        Self {
            now: Millis::ZERO,
            loss: 0.0,
            platform: true,
            list: Vec::new(),
            nodes: BTreeMap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            starts: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Makes a network of `count` nodes, all listed and started within a second.
    pub fn fleet(count: usize, seed: u64) -> Self {
        let mut network = Self::new(seed);
        let names: Vec<InstanceId> = (0..count).map(Self::name).collect();
        network.list = names.iter().map(listed).collect();
        for name in &names {
            network.start(name, Vec::new());
        }
        network
    }

    /// Returns the name of the node with a number.
    pub fn name(number: usize) -> InstanceId {
        InstanceId::new(&format!("entry-{number:03}"))
    }

    /// Starts a node, or starts it anew with another incarnation.
    pub fn start(&mut self, name: &InstanceId, seeds: Vec<ListedInstance>) -> Incarnation {
        self.starts += 1;
        // Odd multiples spread the starts so that their order says nothing of their age.
        let incarnation = Incarnation(self.starts.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let members = Members::new(record(name, incarnation), seeds);
        let node = Node {
            members,
            traffic: Traffic::default(),
            changes: Vec::new(),
            outbox: Outbox::default(),
            frozen: false,
            held: Vec::new(),
            group: 0,
        };
        self.nodes.insert(name.clone(), node);
        let wait = Millis(self.rng.random_range(0..1000));
        self.push(self.now + wait, name, Event::Tick(incarnation));
        incarnation
    }

    /// Kills a node.
    pub fn kill(&mut self, name: &InstanceId) {
        self.nodes.remove(name);
    }

    /// Stops a node's process without killing it; what arrives meanwhile waits.
    pub fn freeze(&mut self, name: &InstanceId) {
        self.node_mut(name).frozen = true;
    }

    /// Lets a frozen node run on; what arrived meanwhile comes before its own clock.
    pub fn thaw(&mut self, name: &InstanceId) {
        let node = self.node_mut(name);
        node.frozen = false;
        let mut held = std::mem::take(&mut node.held);
        held.sort_by_key(|event| matches!(event, Event::Tick(_)));
        for event in held {
            self.push(self.now, name, event);
        }
    }

    /// Puts a node into a group; only nodes of one group reach each other, and only group 0
    /// reaches the platform.
    pub fn cut(&mut self, name: &InstanceId, group: u8) {
        self.node_mut(name).group = group;
    }

    /// Returns a node.
    ///
    /// # Panics
    ///
    /// If there is none of this name.
    pub fn node(&self, name: &InstanceId) -> &Node {
        &self.nodes[name]
    }

    /// Returns a node's machine.
    pub fn members(&self, name: &InstanceId) -> &Members {
        &self.node(name).members
    }

    /// Returns all nodes in the order of their names.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values()
    }

    /// Sets all counts of traffic to zero.
    pub fn reset_traffic(&mut self) {
        for node in self.nodes.values_mut() {
            node.traffic = Traffic::default();
        }
    }

    /// Announces that a node is leaving.
    pub fn leave(&mut self, name: &InstanceId) {
        self.act(name, Members::leave);
    }

    /// Gives a node a message as though it came from a peer.
    pub fn inject(&mut self, to: &InstanceId, envelope: Envelope) {
        self.push(self.now, to, Event::Deliver(Box::new(envelope)));
    }

    /// Tells a node of `count` members at once, as though they had made contact.
    pub fn introduce(&mut self, to: &InstanceId, count: usize) {
        for number in 1..count {
            let own = record(&Self::name(number), Incarnation(number as u64));
            let envelope = Envelope {
                from: own.instance.clone(),
                incarnation: own.incarnation,
                revision: 1,
                message: Message::Members(MemberDigest {
                    members: vec![own],
                    ping: false,
                }),
            };
            self.handle(to, Event::Deliver(Box::new(envelope)));
        }
    }

    /// Runs for a span.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            self.now = entry.key().0;
            let (name, event) = entry.remove();
            self.handle(&name, event);
        }
        self.now = end;
    }

    /// Counts the nodes that hold `subject` in a state.
    pub fn seen_as(&self, subject: &InstanceId, state: MemberState) -> usize {
        let others = self.nodes.iter().filter(|(name, _)| *name != subject);
        let held = others.filter_map(|(_, node)| node.members.get(subject));
        held.filter(|record| record.state == state).count()
    }

    /// Collects the states in which any node ever held `subject`.
    pub fn states_of(&self, subject: &InstanceId) -> BTreeSet<MemberState> {
        let changes = self.nodes.values().flat_map(|node| &node.changes);
        let about = changes.filter(|(_, after)| after.instance == *subject);
        about.map(|(_, after)| after.state).collect()
    }

    fn handle(&mut self, name: &InstanceId, event: Event) {
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        if node.frozen {
            node.held.push(event);
            return;
        }
        let current = node.members.own().incarnation;
        match event {
            Event::Tick(incarnation) if incarnation == current => {
                self.act(name, Controller::tick);
                let next = self.node(name).members.next().max(self.now + Millis(1));
                self.push(next, name, Event::Tick(incarnation));
            }
            Event::Reply(incarnation, op, reply) if incarnation == current => {
                self.act(name, |members, cx| {
                    members.reply(cx, op, &reply);
                });
            }
            Event::Deliver(envelope) => {
                let from = Sender {
                    instance: envelope.from.clone(),
                    incarnation: envelope.incarnation,
                };
                self.act(name, |members, cx| {
                    members.message(cx, &from, &envelope.message);
                });
            }
            Event::Tick(_) | Event::Reply(..) => {}
        }
    }

    fn act(&mut self, name: &InstanceId, call: impl FnOnce(&mut Members, &mut Context<'_>)) {
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        let mut cx = Context {
            now: self.now,
            out: &mut node.outbox,
            rng: &mut self.rng,
        };
        call(&mut node.members, &mut cx);
        node.changes.extend(node.members.changes());
        for action in node.outbox.take() {
            self.perform(name, action);
        }
    }

    fn perform(&mut self, name: &InstanceId, action: Action) {
        match action {
            Action::Send { to, message } => self.send(name, &to, message),
            Action::Platform { op, request } => self.ask(name, op, &request),
            _ => {}
        }
    }

    fn send(&mut self, name: &InstanceId, to: &InstanceId, message: Message) {
        let group = self.nodes[name].group;
        let node = self.node_mut(name);
        let envelope = Envelope {
            from: name.clone(),
            incarnation: node.members.own().incarnation,
            revision: 1,
            message,
        };
        node.traffic.messages += 1;
        node.traffic.bytes += postcard::to_stdvec(&envelope).map_or(0, |bytes| bytes.len() as u64);
        let pinned = node.members.address(to).map(|address| address.fingerprint);
        let lost = self.rng.random_bool(self.loss);
        let delay = Millis(self.rng.random_range(DELAY));
        let Some(peer) = self.nodes.get(to) else {
            return;
        };
        // What the transport does: an address or a certificate that does not fit is refused.
        let actual = peer.members.own().fingerprint;
        let fits = pinned.is_some_and(|print| print.is_none_or(|print| print == actual));
        if lost || !fits || peer.group != group {
            return;
        }
        self.push(self.now + delay, to, Event::Deliver(Box::new(envelope)));
    }

    fn ask(&mut self, name: &InstanceId, op: OpId, request: &PlatformRequest) {
        let node = self.node_mut(name);
        node.traffic.calls += 1;
        let incarnation = node.members.own().incarnation;
        let reached = node.group == 0 && self.platform;
        let reply = match request {
            PlatformRequest::Instances if reached => {
                Ok(PlatformReply::Instances(self.list.clone()))
            }
            _ => Err(PlatformError::Down("not answering".to_owned())),
        };
        self.push(
            self.now + Millis(5),
            name,
            Event::Reply(incarnation, op, reply),
        );
    }

    fn push(&mut self, at: Millis, name: &InstanceId, event: Event) {
        self.sequence += 1;
        self.events
            .insert((at, self.sequence), (name.clone(), event));
    }

    fn node_mut(&mut self, name: &InstanceId) -> &mut Node {
        self.nodes
            .get_mut(name)
            .expect("the test names a node that runs")
    }
}

/// Makes a line of the instance list.
pub fn listed(name: &InstanceId) -> ListedInstance {
    ListedInstance {
        instance: name.clone(),
        centre: DataCentre::new("muscat-a"),
        peer: format!("10.0.0.1:{name}"),
        caller: format!("10.0.0.1:{name}"),
        leaving: false,
    }
}

/// Makes the record of a fresh start.
pub fn record(name: &InstanceId, incarnation: Incarnation) -> MemberRecord {
    let mut fingerprint = [0; 32];
    fingerprint[..8].copy_from_slice(&incarnation.0.to_le_bytes());
    MemberRecord {
        instance: name.clone(),
        incarnation,
        beat: 0,
        state: MemberState::Live,
        peer: format!("10.0.0.1:{name}"),
        caller: format!("10.0.0.1:{name}"),
        centre: DataCentre::new("muscat-a"),
        fingerprint,
    }
}
