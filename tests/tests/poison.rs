//! One poisoned request against whole cores: it takes down two endpoints, and no more.

use std::collections::BTreeMap;
use std::sync::Arc;

use siskinyoke_base::CallHead;
use siskinyoke_base::Code;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Incarnation;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_base::Route;
use siskinyoke_base::message::MemberRecord;
use siskinyoke_base::message::MemberState;
use siskinyoke_base::message::Part;
use siskinyoke_control::Action;
use siskinyoke_control::CallId;
use siskinyoke_control::DispatchId;
use siskinyoke_control::configuration::View;
use siskinyoke_control::core::Core;
use siskinyoke_control::core::CoreParts;
use siskinyoke_control::core::CoreSettings;
use siskinyoke_control::core::DispatchNews;
use siskinyoke_control::core::Event;
use siskinyoke_control::platform::ListedInstance;
use siskinyoke_policy::Adaptive;
use siskinyoke_tests::FakePlatform;
use siskinyoke_tests::configuration;

const POISON: &str = "poison";

/// Time that an answer takes; a poisoned request crashes its endpoint after half of it.
const RUN: Millis = Millis(200);

const STEP: Millis = Millis(5);

/// An endpoint's process, which crashes on the poison and stays down.
#[derive(Default)]
struct Process {
    dead: bool,
    flights: Vec<Flight>,
}

struct Flight {
    at: Millis,
    core: usize,
    dispatch: DispatchId,
    poison: bool,
}

struct Fleet {
    now: Millis,
    cores: Vec<Core>,
    events: Vec<(usize, Event)>,
    processes: BTreeMap<EndpointId, Process>,
    platform: FakePlatform,
    ends: BTreeMap<CallId, Code>,
    calls: u64,
}

impl Fleet {
    fn new(size: usize, endpoints: usize, seed: u64) -> Self {
        let mut doc = configuration::view(8).doc;
        let model = doc.endpoints.values().next().cloned().unwrap();
        let ids = (0..endpoints).map(|n| EndpointId::new(&format!("engine-{n}")));
        doc.endpoints = ids.map(|id| (id, model.clone())).collect();
        let names = doc.endpoints.keys().cloned();
        let processes = names.map(|id| (id, Process::default())).collect();
        let view = Arc::new(View::new(1, doc));
        let cores = (0..size).map(|n| core(n, size, &view, seed));
        Self {
            now: Millis::ZERO,
            cores: cores.collect(),
            events: Vec::new(),
            processes,
            platform: FakePlatform::default(),
            ends: BTreeMap::new(),
            calls: 0,
        }
    }

    /// Sends a request under a new identity.
    fn send(&mut self, at: usize, body: &str) -> CallId {
        self.calls += 1;
        let call = CallId(self.calls);
        let head = CallHead {
            route: Route::Chat {
                model: "batch".into(),
            },
            bearer: *blake3::hash(configuration::KEY.as_bytes()).as_bytes(),
            key: Some(format!("key-{}", self.calls)),
            ticket: None,
            retry: None,
            care: None,
            need: None,
            stream: false,
            prompt: 10,
            output: 10,
            prefix: Vec::new(),
            content: "application/json".to_owned(),
            body: body.to_owned().into(),
        };
        let head = Box::new(head);
        self.events.push((at, Event::Arrive { call, head }));
        call
    }

    fn run(&mut self, span: Millis) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            self.work();
            let mut events = std::mem::take(&mut self.events);
            events.extend((0..self.cores.len()).map(|core| (core, Event::Tick)));
            for (core, event) in events {
                for action in self.cores[core].handle(self.now, event) {
                    self.act(core, action);
                }
            }
        }
    }

    /// Lets processes answer or crash; a crash breaks everything in flight on them.
    fn work(&mut self) {
        for process in self.processes.values_mut() {
            let now = self.now;
            let due: Vec<Flight> = process.flights.extract_if(.., |f| now >= f.at).collect();
            let crash = due.iter().any(|flight| flight.poison);
            let rest = if crash {
                std::mem::take(&mut process.flights)
            } else {
                Vec::new()
            };
            process.dead |= crash;
            for flight in due.into_iter().chain(rest) {
                for news in news(crash) {
                    let dispatch = flight.dispatch;
                    self.events
                        .push((flight.core, Event::Dispatch { dispatch, news }));
                }
            }
        }
    }

    fn act(&mut self, core: usize, action: Action) {
        match action {
            Action::Answer {
                call,
                part: Part::End(end),
            } => drop(self.ends.insert(call, end.code)),
            Action::Dispatch(spec) => {
                let process = self.processes.get_mut(&spec.endpoint).unwrap();
                let dispatch = spec.dispatch;
                if process.dead {
                    let news = DispatchNews::Unreachable {
                        detail: "connection refused".to_owned(),
                        refused: true,
                    };
                    self.events.push((core, Event::Dispatch { dispatch, news }));
                    return;
                }
                let poison = spec.head.body == POISON;
                let span = if poison { Millis(RUN.0 / 2) } else { RUN };
                process.flights.push(Flight {
                    at: self.now + span,
                    core,
                    dispatch,
                    poison,
                });
            }
            Action::Cancel { dispatch } => {
                for process in self.processes.values_mut() {
                    process
                        .flights
                        .retain(|f| (f.core, f.dispatch) != (core, dispatch));
                }
            }
            Action::Probe { endpoint, .. } => {
                let reached = !self.processes[&endpoint].dead;
                self.events
                    .push((core, Event::Probed { endpoint, reached }));
            }
            Action::Send { to, message } => {
                let envelope = Box::new(self.cores[core].envelope(message));
                let there = |at: &Core| at.me().instance == to;
                if let Some(at) = self.cores.iter().position(there) {
                    self.events.push((at, Event::Peer(envelope)));
                }
            }
            Action::Platform { op, request } => {
                let reply = self.platform.call(&request);
                self.events.push((core, Event::Platform { op, reply }));
            }
            _ => {}
        }
    }

    fn deaths(&self) -> usize {
        self.processes
            .values()
            .filter(|process| process.dead)
            .count()
    }
}

fn news(crash: bool) -> Vec<DispatchNews> {
    if crash {
        let detail = "connection reset".to_owned();
        return vec![DispatchNews::Broken { detail }];
    }
    let head = DispatchNews::Head {
        status: 200,
        content: "application/json".to_owned(),
        stream: false,
    };
    vec![head, DispatchNews::Piece("{}".into()), DispatchNews::Whole]
}

fn core(number: usize, size: usize, view: &Arc<View>, seed: u64) -> Core {
    let name = |number: usize| InstanceId::new(&format!("entry-{number}"));
    let seeds = (0..size).map(|number| ListedInstance {
        instance: name(number),
        centre: "a".into(),
        peer: format!("peer-{number}"),
        caller: format!("caller-{number}"),
        leaving: false,
    });
    let own = MemberRecord {
        instance: name(number),
        incarnation: Incarnation(number as u64 + 1),
        beat: 0,
        state: MemberState::Live,
        peer: format!("peer-{number}"),
        caller: format!("caller-{number}"),
        centre: "a".into(),
        fingerprint: [0; 32],
    };
    let mut core = Core::new(CoreParts {
        own,
        settings: CoreSettings::default(),
        scheduler: Box::new(Adaptive::new(seed, 1)),
        seeds: seeds.collect(),
        seed,
    });
    core.set_view(Millis::ZERO, view.clone());
    core
}

/// One request crashes each engine that runs it. Its caller sends it again and again, each time
/// under a new identity and through another instance. Engine after engine goes down, and drafts
/// that were in flight with it are lost.
#[test]
fn a_poisoned_request_takes_down_two_endpoints() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(3, 6, seed);
        fleet.run(Millis(2_000));
        let innocents: Vec<CallId> = (0..18)
            .map(|n| fleet.send(n % 3, &format!("draft {n}")))
            .collect();
        let mut poison = fleet.send(0, POISON);
        for sending in 1..20 {
            for _ in 0..60 {
                fleet.run(Millis(500));
                if fleet.ends.contains_key(&poison) {
                    break;
                }
            }
            assert_ne!(fleet.ends[&poison], Code::Complete);
            poison = fleet.send(sending % 3, POISON);
        }
        assert_eq!(fleet.deaths(), 2, "seed {seed}");
        let ends: Vec<Option<&Code>> = innocents.iter().map(|id| fleet.ends.get(id)).collect();
        let whole = ends.iter().all(|end| *end == Some(&Code::Complete));
        assert!(whole, "seed {seed}: {ends:?}");
        fleet.run(Millis(30_000));
        for core in &fleet.cores {
            assert_eq!((core.open_jobs(), core.serving(0)), (0, 0), "seed {seed}");
        }
        let last = fleet.ends.values().next_back();
        assert_eq!(last, Some(&Code::Quarantined), "seed {seed}");
    }
}
