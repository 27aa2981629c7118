//! What requests cost the core and its ledger.

use std::sync::Arc;

use bytes::Bytes;

use crate::Network;
use crate::cost;
use crate::documents::bearer;
use crate::documents::document;
use crate::network::record;
use siskinyoke_base::CallClass;
use siskinyoke_base::CallHead;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Identity;
use siskinyoke_base::Incarnation;
use siskinyoke_base::Millis;
use siskinyoke_base::ModelId;
use siskinyoke_base::OrganisationId;
use siskinyoke_base::Route;
use siskinyoke_base::message::Envelope;
use siskinyoke_base::message::LeaseDemand;
use siskinyoke_base::message::MemberDigest;
use siskinyoke_base::message::Message;
use siskinyoke_control::Action;
use siskinyoke_control::CallId;
use siskinyoke_control::DispatchId;
use siskinyoke_control::configuration::EndpointDoc;
use siskinyoke_control::configuration::View;
use siskinyoke_control::core::Core;
use siskinyoke_control::core::CoreParts;
use siskinyoke_control::core::CoreSettings;
use siskinyoke_control::core::DispatchNews;
use siskinyoke_control::core::Event;
use siskinyoke_control::ledger::Ledger;
use siskinyoke_control::ledger::LedgerLimits;
use siskinyoke_policy::Adaptive;
use siskinyoke_policy::EndpointSpec;
use siskinyoke_policy::Scheduler;
use siskinyoke_policy::Work;
use siskinyoke_policy::WorkId;

/// Requests on the way in one daemon at the size to come: 7,100 a second of 394 tokens at 39 ms,
/// over 370 daemons.
const IN_FLIGHT: usize = 296;

/// Bytes of a request's body.
const BODY: usize = 2_000;

struct Bench {
    core: Core,
    now: Millis,
    calls: u64,
    runs: Vec<DispatchId>,
}

/// Prints the time of each kind of event, by members and by endpoints.
pub fn run(members: &[usize], endpoints: &[usize]) {
    println!(
        "| members | endpoints | in flight | waiting | µs/piece | µs/tick | µs/locate | µs/request |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for count in members {
        line(*count, 600);
    }
    for count in endpoints {
        line(8, *count);
    }
}

/// Prints the ledger's memory by identities held.
pub fn ledger(sizes: &[usize]) {
    println!("| identities | bytes each | µs each |");
    println!("|---|---|---|");
    for size in sizes {
        let limits = LedgerLimits {
            entries: usize::MAX,
            bytes: 0,
        };
        let before = cost::resident();
        let start = cost::thread_nanos();
        let mut ledger = Ledger::new(limits);
        for number in 0..*size {
            let id = Identity {
                organisation: OrganisationId::new(&format!("organisation-{:05}", number % 21_000)),
                owner: Incarnation(7),
                key: format!("{number:026}"),
            };
            ledger.open(&id, [7; 32], Millis::from_secs(number as u64));
        }
        let nanos = cost::thread_nanos() - start;
        let held = cost::resident().saturating_sub(before);
        println!(
            "| {size} | {} | {:.2} |",
            held / *size as u64,
            nanos as f64 / 1000.0 / *size as f64
        );
        drop(std::hint::black_box(ledger));
    }
}

fn line(members: usize, endpoints: usize) {
    let mut bench = Bench::new(members, endpoints);
    bench.fill(IN_FLIGHT);
    let flying = bench.runs.len();
    let waiting = bench.core.open_jobs() - flying;
    let mut at = 0;
    let piece = cost::micros_each(|| {
        at += 1;
        bench.piece(at % flying);
    });
    let tick = cost::micros_each(|| bench.handle(Event::Tick));
    let locate = cost::micros_each(|| bench.locate());
    let whole = cost::micros_each(|| {
        let dispatch = bench.runs.remove(0);
        let news = DispatchNews::Whole;
        bench.handle(Event::Dispatch { dispatch, news });
        bench.arrive();
    });
    println!(
        "| {members} | {endpoints} | {flying} | {waiting} | {piece:.1} | {tick:.1} | {locate:.1} | {whole:.1} |"
    );
}

/// Prints the memory of requests on the way.
pub fn memory(sizes: &[usize]) {
    println!("| in flight | bytes each, body of {BODY} bytes included |");
    println!("|---|---|");
    for size in sizes {
        let mut bench = Bench::new(8, 600);
        let before = cost::resident();
        bench.fill(*size);
        let held = cost::resident().saturating_sub(before);
        println!(
            "| {} | {} |",
            bench.runs.len(),
            held / bench.runs.len() as u64
        );
    }
}

/// Prints the time that the policy takes to say what it demands of shared capacity.
pub fn demand(endpoints: &[usize]) {
    println!("| endpoints | lines with demand | µs/round |");
    println!("|---|---|---|");
    for count in endpoints {
        let mut policy = Adaptive::new(1, 8);
        let now = Millis::from_secs(1);
        policy.set_endpoints(now, &specs(*count));
        for number in 0..IN_FLIGHT as u64 {
            policy.arrive(now, work(number, now));
            let mut decisions = Vec::new();
            policy.poll(now, &mut decisions);
        }
        let lines = policy.demand(now);
        let asked = |line: &&LeaseDemand| {
            let tiers = line.wanted.split_last().map_or(&[][..], |(_, tiers)| tiers);
            line.held > 0 || tiers.iter().any(|units| *units > 0)
        };
        let wanted = lines.iter().filter(asked).count();
        let micros = cost::micros_each(|| drop(policy.demand(now)));
        println!("| {count} | {wanted} | {micros:.0} |");
    }
}

fn specs(count: usize) -> Vec<EndpointSpec> {
    let docs = document(1, count).endpoints;
    let spec = |(id, doc): (EndpointId, EndpointDoc)| EndpointSpec {
        id,
        centre: doc.centre,
        distance: Millis::ZERO,
        targets: doc.targets,
        slots: doc.slots,
        speed: doc.speed,
        prefill: doc.prefill,
    };
    docs.into_iter().map(spec).collect()
}

fn work(number: u64, now: Millis) -> Work {
    Work {
        id: WorkId(number),
        organisation: OrganisationId::new(&format!("organisation-{number}")),
        rank: u8::try_from(number % 3).unwrap_or(0),
        protected: number.is_multiple_of(3),
        arrived: now,
        deadline: now + Millis::from_secs(10),
        target: ModelId::new(&format!("model-{}", number % 8)),
        prompt: 500,
        output: 394,
        prefix: (0..8).map(|block| number * 8 + block).collect(),
        class: CallClass::Idempotent,
        apart: false,
        avoid: Vec::new(),
        stream: true,
    }
}

/// Prints the time to put a configuration in force in the core.
pub fn in_force(sizes: &[usize]) {
    println!("| organisations | ms to put in force |");
    println!("|---|---|");
    for size in sizes {
        let mut bench = Bench::new(8, 600);
        let doc = document(*size, 600);
        let views: Vec<View> = (2..12).map(|n| View::new(n, doc.clone())).collect();
        let start = cost::thread_nanos();
        for view in views {
            bench.core.set_view(bench.now, Arc::new(view));
        }
        let nanos = cost::thread_nanos() - start;
        println!("| {size} | {:.1} |", nanos as f64 / 1e7);
    }
}

impl Bench {
    fn new(members: usize, endpoints: usize) -> Self {
        let own = record(&Network::name(0), Incarnation(1));
        let mut core = Core::new(CoreParts {
            own,
            settings: CoreSettings::default(),
            scheduler: Box::new(Adaptive::new(1, u32::try_from(members).unwrap_or(1))),
            seeds: Vec::new(),
            seed: 1,
        });
        let now = Millis::from_secs(1);
        let view = View::new(1, document(1_000, endpoints));
        core.set_view(now, Arc::new(view));
        let mut bench = Self {
            core,
            now,
            calls: 0,
            runs: Vec::new(),
        };
        for number in 1..members {
            bench.introduce(number);
        }
        bench
    }

    fn introduce(&mut self, number: usize) {
        let own = record(&Network::name(number), Incarnation(1 + number as u64));
        let envelope = Envelope {
            from: own.instance.clone(),
            incarnation: own.incarnation,
            revision: 1,
            message: Message::Members(MemberDigest {
                members: vec![own],
                ping: false,
            }),
        };
        self.handle(Event::Peer(Box::new(envelope)));
    }

    fn fill(&mut self, count: usize) {
        for _ in 0..count {
            self.now += Millis(1);
            self.arrive();
        }
    }

    fn arrive(&mut self) {
        self.calls += 1;
        let number = usize::try_from(self.calls).unwrap_or(0);
        let head = CallHead {
            route: Route::Chat {
                model: ModelId::new(&format!("model-{}", (number % 1_000) % 8)),
            },
            bearer: bearer(number % 1_000),
            key: None,
            ticket: None,
            retry: None,
            care: Some(CallClass::Idempotent),
            need: None,
            stream: true,
            prompt: 500,
            output: 394,
            prefix: (0..8).map(|block| self.calls * 8 + block).collect(),
            content: "application/json".to_owned(),
            body: Bytes::from(vec![7; BODY]),
        };
        self.handle(Event::Arrive {
            call: CallId(self.calls),
            head: Box::new(head),
        });
    }

    fn handle(&mut self, event: Event) {
        for action in self.core.handle(self.now, event) {
            if let Action::Dispatch(spec) = action {
                self.runs.push(spec.dispatch);
                let news = DispatchNews::Head {
                    status: 200,
                    content: "text/event-stream".to_owned(),
                    stream: true,
                };
                let dispatch = spec.dispatch;
                self.handle(Event::Dispatch { dispatch, news });
                self.piece(self.runs.len() - 1);
            }
        }
    }

    fn locate(&mut self) {
        self.calls += 1;
        self.handle(Event::Locate {
            call: CallId(self.calls),
            bearer: bearer(1),
        });
    }

    fn piece(&mut self, at: usize) {
        let dispatch = self.runs[at];
        let news = DispatchNews::Piece(Bytes::from_static(b"data: {\"choices\":[]}\n\n"));
        self.handle(Event::Dispatch { dispatch, news });
    }
}
