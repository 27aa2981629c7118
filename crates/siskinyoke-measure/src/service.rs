//! Whole cores in virtual time: what they ask of the platform's service and say to each other.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::Network;
use crate::cost;
use crate::documents::bearer;
use crate::documents::change;
use crate::documents::document;
use crate::network::listed;
use crate::network::record;
use siskinyoke_base::CallHead;
use siskinyoke_base::Incarnation;
use siskinyoke_base::Millis;
use siskinyoke_base::ModelId;
use siskinyoke_base::Route;
use siskinyoke_base::message::Message;
use siskinyoke_control::Action;
use siskinyoke_control::CallId;
use siskinyoke_control::DispatchSpec;
use siskinyoke_control::OpId;
use siskinyoke_control::PlatformRequest;
use siskinyoke_control::configuration::MANIFEST_KEY;
use siskinyoke_control::configuration::Stored;
use siskinyoke_control::configuration::View;
use siskinyoke_control::core::Core;
use siskinyoke_control::core::CoreParts;
use siskinyoke_control::core::CoreSettings;
use siskinyoke_control::core::DispatchNews;
use siskinyoke_control::core::Event;
use siskinyoke_policy::Adaptive;
use siskinyoke_tests::FakePlatform;

/// Organisations in the configuration.
const ORGANISATIONS: usize = 1_000;

/// Endpoints in the configuration, where no other number is asked for.
pub const ENDPOINTS: usize = 12;

/// Time for the fleet to know itself and the configuration.
const SETTLE: Millis = Millis::from_secs(60);

/// Time measured: several batches of usage.
const SPAN: Millis = Millis::from_secs(60);

/// One way between two daemons, and the service's answer.
const DELAY: Millis = Millis(2);

/// How long the stand-in of an endpoint takes to its first piece, and to the end of its answer:
/// 394 tokens at 39 ms.
const FIRST: Millis = Millis(500);
const WHOLE: Millis = Millis(15_400);

#[derive(Debug, Default)]
struct Counts {
    reads: u64,
    writes: u64,
    messages: BTreeMap<&'static str, (u64, u64)>,
    answers: u64,
}

struct Fleet {
    now: Millis,
    cores: Vec<Core>,
    platform: FakePlatform,
    queue: BTreeMap<(Millis, u64), (usize, Event)>,
    serial: u64,
    calls: u64,
    counts: Counts,
    watching: usize,
    waits: BTreeSet<(usize, OpId)>,
}

/// Prints one line for each size of the fleet and each load of a daemon, in requests a second.
pub fn run(sizes: &[usize], loads: &[u64], endpoints: usize) {
    println!(
        "| daemons | requests/s each | answer parts/s (fleet) | reads/s (fleet) | watches waiting | writes/s (fleet) | messages/s | bytes/s | µs/s | of which bytes/s by kind |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for size in sizes {
        for load in loads {
            line(*size, *load, endpoints);
        }
    }
}

fn line(size: usize, load: u64, endpoints: usize) {
    let mut fleet = Fleet::new(size, endpoints);
    fleet.run(SETTLE, load);
    fleet.counts = Counts::default();
    let before = cost::thread_nanos();
    fleet.run(SPAN, load);
    let nanos = cost::thread_nanos() - before;
    let secs = SPAN.as_secs();
    let daemons = size as f64 * secs;
    let counts = &fleet.counts;
    let messages: u64 = counts.messages.values().map(|(count, _)| count).sum();
    let bytes: u64 = counts.messages.values().map(|(_, bytes)| bytes).sum();
    let kinds = counts.messages.iter();
    let kinds = kinds.map(|(kind, (_, bytes))| format!("{kind} {:.0}", *bytes as f64 / daemons));
    println!(
        "| {size} | {load} | {:.0} | {:.2} | {} | {:.2} | {:.1} | {:.0} | {:.0} | {} |",
        counts.answers as f64 / secs,
        counts.reads as f64 / secs,
        fleet.watching,
        counts.writes as f64 / secs,
        messages as f64 / daemons,
        bytes as f64 / daemons,
        nanos as f64 / 1000.0 / daemons,
        kinds.collect::<Vec<_>>().join(", "),
    );
}

/// Prints the time from an accepted change until it is in force on every daemon.
pub fn in_force(sizes: &[usize]) {
    println!("| daemons | s until in force on half | s until in force on all |");
    println!("|---|---|---|");
    for size in sizes {
        let mut fleet = Fleet::new(*size, ENDPOINTS);
        fleet.run(Millis::from_secs(60), 0);
        let start = fleet.now;
        fleet.accept_change();
        let mut half = None;
        while fleet.behind() > 0 && fleet.now.since(start) < SPAN {
            fleet.run(Millis(50), 0);
            if fleet.behind() <= size / 2 {
                half.get_or_insert(fleet.now.since(start).as_secs());
            }
        }
        let all = fleet.now.since(start).as_secs();
        println!("| {size} | {:.2} | {all:.2} |", half.unwrap_or(f64::NAN));
    }
}

impl Fleet {
    /// Writes a change to the service, as a daemon that accepts one would.
    fn accept_change(&mut self) {
        let doc = document(ORGANISATIONS, ENDPOINTS);
        let first = Stored::following(None, &doc, change(1));
        let mut changed = doc.clone();
        if let Some(first) = changed.organisations.values_mut().next() {
            first.weight = 2;
        }
        for (key, value) in Stored::following(Some(&first), &changed, change(2)).values() {
            let request = PlatformRequest::Put { key, value };
            let _ = self.platform.call(&request);
        }
        let watch = PlatformRequest::Get {
            key: MANIFEST_KEY.to_owned(),
        };
        for (number, op) in std::mem::take(&mut self.waits) {
            let reply = self.platform.call(&watch);
            self.watching -= 1;
            self.push(DELAY, number, Event::Platform { op, reply });
        }
    }

    fn behind(&self) -> usize {
        let old = |core: &&Core| core.view().revision < 2;
        self.cores.iter().filter(old).count()
    }

    fn new(size: usize, endpoints: usize) -> Self {
        let mut platform = FakePlatform::default();
        platform.instances = (0..size).map(|n| listed(&Network::name(n))).collect();
        let doc = document(ORGANISATIONS, endpoints);
        for (key, value) in Stored::following(None, &doc, change(1)).values() {
            let request = PlatformRequest::Put { key, value };
            let _ = platform.call(&request);
        }
        let mut fleet = Self {
            now: Millis::from_secs(1),
            cores: Vec::new(),
            platform,
            queue: BTreeMap::new(),
            serial: 0,
            calls: 0,
            counts: Counts::default(),
            watching: 0,
            waits: BTreeSet::new(),
        };
        let view = Arc::new(View::new(0, doc));
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        for number in 0..size {
            let core = fleet.core(number, size, &view);
            fleet.cores.push(core);
            let start = Millis(rng.random_range(0..1000));
            fleet.push(start, number, Event::Tick);
        }
        fleet
    }

    fn core(&self, number: usize, size: usize, view: &Arc<View>) -> Core {
        let mut core = Core::new(CoreParts {
            own: record(&Network::name(number), Incarnation(number as u64 + 1)),
            settings: CoreSettings::default(),
            scheduler: Box::new(Adaptive::new(1, u32::try_from(size).unwrap_or(1))),
            seeds: Vec::new(),
            seed: number as u64,
        });
        core.set_view(self.now, Arc::clone(view));
        core
    }

    fn run(&mut self, span: Millis, load: u64) {
        let end = self.now + span;
        for number in 0..self.cores.len() {
            for at in 0..load * span.0 / 1000 {
                let delay = Millis(at * 1000 / load.max(1));
                let event = self.arrival(number);
                self.push(delay, number, event);
            }
        }
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            self.now = entry.key().0;
            let (number, event) = entry.remove();
            self.deliver(number, event);
        }
        self.now = end;
    }

    fn deliver(&mut self, number: usize, event: Event) {
        let tick = matches!(event, Event::Tick);
        if let Event::Platform { op, .. } = &event
            && self.waits.remove(&(number, *op))
        {
            self.watching -= 1;
        }
        for action in self.cores[number].handle(self.now, event) {
            self.act(number, action);
        }
        if tick {
            let next = self.cores[number].next(self.now).max(self.now + Millis(10));
            self.push(next - self.now, number, Event::Tick);
        }
    }

    fn act(&mut self, number: usize, action: Action) {
        match action {
            Action::Send { to, message } => {
                let found = self.cores.iter().position(|core| core.me().instance == to);
                let kind = kind(&message);
                let envelope = self.cores[number].envelope(message);
                let bytes = postcard::to_stdvec(&envelope).map_or(0, |bytes| bytes.len() as u64);
                let counted = self.counts.messages.entry(kind).or_default();
                counted.0 += 1;
                counted.1 += bytes;
                if let Some(to) = found {
                    self.push(DELAY, to, Event::Peer(Box::new(envelope)));
                }
            }
            Action::Platform { op, request } => {
                let (delay, watch) = self.count(&request);
                let reply = self.platform.call(&request);
                if watch {
                    self.watching += 1;
                    self.waits.insert((number, op));
                }
                self.push(delay, number, Event::Platform { op, reply });
            }
            Action::Dispatch(spec) => self.answer(number, &spec),
            Action::Answer { .. } => self.counts.answers += 1,
            _ => {}
        }
    }

    fn count(&mut self, request: &PlatformRequest) -> (Millis, bool) {
        match request {
            PlatformRequest::Watch { known, limit, key } => {
                self.counts.reads += 1;
                // The manifest never changes here; a watch that knows it waits its limit out.
                let held = self.platform.values.get(key);
                let news = held.is_some_and(|held| held.version > *known) && key == MANIFEST_KEY;
                (if news { DELAY } else { *limit }, true)
            }
            PlatformRequest::Get { .. }
            | PlatformRequest::List { .. }
            | PlatformRequest::Instances => {
                self.counts.reads += 1;
                (DELAY, false)
            }
            _ => {
                self.counts.writes += 1;
                (DELAY, false)
            }
        }
    }

    fn answer(&mut self, number: usize, spec: &DispatchSpec) {
        let dispatch = spec.dispatch;
        let head = DispatchNews::Head {
            status: 200,
            content: "text/event-stream".to_owned(),
            stream: true,
        };
        let piece = DispatchNews::Piece(Bytes::from_static(b"data: {}\n\n"));
        let whole = DispatchNews::Whole;
        for (delay, news) in [(FIRST, head), (FIRST, piece), (WHOLE, whole)] {
            self.push(delay, number, Event::Dispatch { dispatch, news });
        }
    }

    fn arrival(&mut self, number: usize) -> Event {
        self.calls += 1;
        // A prime step mixes organisations, and with them models, on every daemon.
        let call = usize::try_from(self.calls).unwrap_or(0);
        let organisation = (call * 7919 + number) % ORGANISATIONS;
        let head = CallHead {
            route: Route::Chat {
                model: ModelId::new(&format!("model-{}", organisation % 8)),
            },
            bearer: bearer(organisation),
            key: None,
            ticket: None,
            retry: None,
            care: None,
            need: None,
            stream: true,
            prompt: 500,
            output: 394,
            prefix: Vec::new(),
            content: "application/json".to_owned(),
            body: Bytes::from_static(b"{}"),
        };
        Event::Arrive {
            call: CallId(self.calls),
            head: Box::new(head),
        }
    }

    fn push(&mut self, delay: Millis, number: usize, event: Event) {
        self.serial += 1;
        self.queue
            .insert((self.now + delay, self.serial), (number, event));
    }
}

fn kind(message: &Message) -> &'static str {
    match message {
        Message::Members(_) => "members",
        Message::Usage { .. } | Message::UsageAck { .. } => "usage",
        Message::Fetch { .. } | Message::Documents { .. } => "configuration",
        Message::Threshold { .. } | Message::ThresholdAck { .. } => "threshold",
        Message::LeaseReport(_) | Message::LeaseGrant(_) => "leases",
        Message::Suspects { .. } => "suspects",
        _ => "forwarding",
    }
}
