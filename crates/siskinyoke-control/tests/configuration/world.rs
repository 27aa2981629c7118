//! Several configuration controllers over the fake platform, in virtual time.

use std::collections::BTreeMap;
use std::fs;

use rand::RngCore;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fake_platform::FakePlatform;
use crate::fake_platform::Mishap;
use siskinyoke_base::Incarnation;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_base::message::Message;
use siskinyoke_control::Action;
use siskinyoke_control::CallId;
use siskinyoke_control::Context;
use siskinyoke_control::Controller;
use siskinyoke_control::OpId;
use siskinyoke_control::Outbox;
use siskinyoke_control::PlatformError;
use siskinyoke_control::PlatformRequest;
use siskinyoke_control::Reply;
use siskinyoke_control::Sender;
use siskinyoke_control::configuration::Change;
use siskinyoke_control::configuration::ChangeRequest;
use siskinyoke_control::configuration::ConfigurationController;
use siskinyoke_control::configuration::ConfigurationDoc;
use siskinyoke_control::configuration::Event;
use siskinyoke_control::configuration::MANIFEST_KEY;
use siskinyoke_control::configuration::Manifest;
use siskinyoke_control::configuration::Outcome;
use siskinyoke_control::configuration::RecentChange;
use siskinyoke_control::configuration::Stored;
use siskinyoke_control::configuration::read_file;
use siskinyoke_control::configuration::watchers;

/// One way between a daemon and the service or a peer, in milliseconds.
const HOP: u64 = 2;

/// How often each daemon sends something to some peer, in milliseconds.
const BEAT: u64 = 250;

/// How much later than expected a late write arrives, in milliseconds.
const LATE: u64 = 4_000;

/// One controller with what surrounds it.
pub struct Daemon {
    pub controller: ConfigurationController,
    pub start: u64,
    pub cut_service: bool,
    pub cut_peers: bool,
    out: Outbox,
    rng: ChaCha8Rng,
    beat: u64,
}

/// Something on its way.
enum Flight {
    Ask(OpId, PlatformRequest),
    Late(PlatformRequest),
    Reply(OpId, Reply),
    Message(String, u64, Message),
    Beat(String, u64),
}

struct Watch {
    to: (String, u64),
    op: OpId,
    key: String,
    known: u64,
    until: u64,
}

/// The controllers, the service and the network between them.
pub struct World {
    pub now: u64,
    pub platform: FakePlatform,
    pub daemons: BTreeMap<String, Daemon>,
    /// Outcomes in the order in which they were told, with the identity asked for.
    pub outcomes: Vec<(String, Outcome)>,
    pub log: Vec<String>,
    pub delay: u64,
    /// How often a revision came into force with other content than it had elsewhere.
    pub forks: u64,
    flights: BTreeMap<(u64, u64), (String, u64, Flight)>,
    watches: Vec<Watch>,
    calls: BTreeMap<u64, String>,
    count: u64,
    seed: u64,
    /// The document that each revision was first seen with anywhere.
    seen: BTreeMap<u64, ConfigurationDoc>,
}

/// Reads the local example.
pub fn local_example() -> ConfigurationDoc {
    let root = env!("CARGO_MANIFEST_DIR");
    let path = format!("{root}/../../examples/local/configuration.jsonc");
    let text = fs::read_to_string(path).expect("the example is there");
    read_file(&text).expect("the example passes the check")
}

impl World {
    pub fn new(seed: u64) -> Self {
        Self {
            now: 0,
            platform: FakePlatform::default(),
            daemons: BTreeMap::new(),
            outcomes: Vec::new(),
            log: Vec::new(),
            delay: 0,
            forks: 0,
            flights: BTreeMap::new(),
            watches: Vec::new(),
            calls: BTreeMap::new(),
            count: 0,
            seed,
            seen: BTreeMap::new(),
        }
    }

    /// Puts the local example into the service as revision 1.
    pub fn seed_service(&mut self) {
        let change = RecentChange {
            id: "first".to_owned(),
            revision: 1,
            content: "first".to_owned(),
            operator: "root".to_owned(),
        };
        let stored = Stored::following(None, &local_example(), change);
        for (key, value) in stored.values() {
            self.platform.write(&key, &value);
        }
    }

    pub fn start(&mut self, name: &str, watching: bool) {
        self.count += 1;
        let mut daemon = Daemon {
            controller: ConfigurationController::default(),
            start: self.count,
            cut_service: false,
            cut_peers: false,
            out: Outbox::default(),
            rng: ChaCha8Rng::seed_from_u64(self.seed + self.count),
            beat: self.now + BEAT,
        };
        daemon.act(self.now, |controller, cx| {
            controller.set_fleet(cx, watching, 3);
        });
        self.daemons.insert(name.to_owned(), daemon);
        self.collect(name);
    }

    pub fn stop(&mut self, name: &str) {
        self.daemons.remove(name);
    }

    pub fn change(&mut self, at: &str, id: &str, expected: Option<u64>, change: Change) {
        self.change_by("root", at, id, expected, change);
    }

    pub fn change_by(
        &mut self,
        operator: &str,
        at: &str,
        id: &str,
        expected: Option<u64>,
        change: Change,
    ) {
        let request = ChangeRequest {
            id: id.to_owned(),
            expected,
            change,
        };
        let call = self.call(id);
        let now = self.now;
        let daemon = self.daemons.get_mut(at).expect("the daemon runs");
        daemon.act(now, |controller, cx| {
            controller.begin_change(cx, call, request, operator);
        });
        self.collect(at);
    }

    pub fn look_up(&mut self, at: &str, id: &str, after: Option<u64>) {
        let call = self.call(id);
        let now = self.now;
        let daemon = self.daemons.get_mut(at).expect("the daemon runs");
        daemon.act(now, |controller, cx| {
            controller.look_up(cx, call, id, after);
        });
        self.collect(at);
    }

    /// Tells every daemon who watches, as the controller of members does.
    pub fn choose_watchers(&mut self) {
        let live: Vec<_> = self
            .daemons
            .keys()
            .map(|name| InstanceId::new(name))
            .collect();
        let chosen = watchers(&live);
        let now = self.now;
        for (name, daemon) in &mut self.daemons {
            let watching = chosen.contains(&InstanceId::new(name));
            daemon.act(now, |controller, cx| {
                controller.set_fleet(cx, watching, live.len());
            });
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(at) = self.next().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.step();
        }
        self.now = end;
    }

    /// Returns the manifest that the service holds.
    pub fn manifest(&self) -> Option<Manifest> {
        Manifest::decode(&self.platform.values.get(MANIFEST_KEY)?.value)
    }

    /// Breaks every waiting watch, as an outage does.
    pub fn break_watches(&mut self) {
        for watch in std::mem::take(&mut self.watches) {
            let lost = Err(PlatformError::Lost("the watch broke".to_owned()));
            self.fly(&watch.to.0, watch.to.1, HOP, Flight::Reply(watch.op, lost));
        }
    }

    fn call(&mut self, id: &str) -> CallId {
        self.count += 1;
        self.calls.insert(self.count, id.to_owned());
        CallId(self.count)
    }

    fn next(&self) -> Option<u64> {
        let flight = self.flights.keys().next().map(|key| key.0);
        let daemons = self.daemons.values();
        let due = daemons.map(|daemon| daemon.beat.min(daemon.controller.next().0));
        let watches = self.watches.iter().map(|watch| watch.until);
        flight.into_iter().chain(due).chain(watches).min()
    }

    fn step(&mut self) {
        self.end_watches();
        while let Some(entry) = self.flights.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (to, start, flight) = entry.remove();
            self.arrive(&to, start, flight);
        }
        let names: Vec<String> = self.daemons.keys().cloned().collect();
        for name in names {
            self.wake(&name);
        }
    }

    fn wake(&mut self, name: &str) {
        let now = self.now;
        let Some(daemon) = self.daemons.get_mut(name) else {
            return;
        };
        let beats = daemon.beat <= now;
        if beats {
            daemon.beat = now + BEAT;
        }
        if daemon.controller.next().0 <= now {
            daemon.act(now, Controller::tick);
            self.collect(name);
        }
        if beats {
            self.send_beat(name);
        }
    }

    fn send_beat(&mut self, name: &str) {
        let peers: Vec<String> = self
            .daemons
            .keys()
            .filter(|peer| *peer != name)
            .cloned()
            .collect();
        let daemon = self.daemons.get_mut(name).expect("it was just woken");
        if peers.is_empty() || daemon.cut_peers {
            return;
        }
        let pick = usize::try_from(daemon.rng.next_u32()).expect("32 bits fit") % peers.len();
        let revision = daemon.controller.revision();
        let start = self.daemons[&peers[pick]].start;
        self.fly(
            &peers[pick],
            start,
            HOP,
            Flight::Beat(name.to_owned(), revision),
        );
    }

    fn arrive(&mut self, to: &str, start: u64, flight: Flight) {
        let now = self.now;
        match flight {
            Flight::Ask(op, request) => return self.ask(to, start, op, &request),
            Flight::Late(request) => {
                let _ = self.platform.answer(&request);
                return;
            }
            _ => {}
        }
        let Some(daemon) = self
            .daemons
            .get_mut(to)
            .filter(|daemon| daemon.start == start)
        else {
            return;
        };
        match flight {
            Flight::Reply(op, reply) => daemon.act(now, |controller, cx| {
                assert!(controller.reply(cx, op, &reply), "a reply to nobody");
            }),
            Flight::Beat(from, revision) if !daemon.cut_peers => {
                daemon.act(now, |controller, cx| {
                    controller.observe_revision(cx, &InstanceId::new(&from), revision);
                });
            }
            Flight::Message(from, revision, message) if !daemon.cut_peers => {
                let sender = Sender {
                    instance: InstanceId::new(&from),
                    incarnation: Incarnation(0),
                };
                daemon.act(now, |controller, cx| {
                    controller.observe_revision(cx, &sender.instance, revision);
                    controller.message(cx, &sender, &message);
                });
            }
            _ => {}
        }
        self.collect(to);
    }

    /// Lets a request reach the service.
    fn ask(&mut self, from: &str, start: u64, op: OpId, request: &PlatformRequest) {
        let cut = self
            .daemons
            .get(from)
            .is_some_and(|daemon| daemon.cut_service);
        if cut {
            let down = Err(PlatformError::Down("cut off".to_owned()));
            return self.fly(from, start, HOP, Flight::Reply(op, down));
        }
        if let PlatformRequest::Watch { key, known, limit } = request
            && !self.platform.down
            && self.platform.version(key) <= *known
        {
            let until = self.now + limit.0;
            self.watches.push(Watch {
                to: (from.to_owned(), start),
                op,
                key: key.clone(),
                known: *known,
                until,
            });
            return;
        }
        let swap = matches!(request, PlatformRequest::Swap { .. });
        if swap && self.platform.mishaps.front() == Some(&Mishap::Late) {
            self.platform.mishaps.pop_front();
            let lost = Err(PlatformError::Lost("it is still on its way".to_owned()));
            self.fly(from, start, HOP, Flight::Reply(op, lost));
            return self.fly(from, start, LATE, Flight::Late(request.clone()));
        }
        let reply = self.platform.answer(request);
        self.fly(from, start, HOP + self.delay, Flight::Reply(op, reply));
    }

    fn end_watches(&mut self) {
        let mut waiting = Vec::new();
        for watch in std::mem::take(&mut self.watches) {
            let changed = self.platform.version(&watch.key) > watch.known;
            if changed || watch.until <= self.now {
                let key = watch.key.clone();
                let reply = self.platform.answer(&PlatformRequest::Get { key });
                self.fly(&watch.to.0, watch.to.1, HOP, Flight::Reply(watch.op, reply));
            } else {
                waiting.push(watch);
            }
        }
        self.watches = waiting;
    }

    /// Takes what a daemon wants done, and checks what it holds.
    fn collect(&mut self, name: &str) {
        let Some(daemon) = self.daemons.get_mut(name) else {
            return;
        };
        let start = daemon.start;
        let revision = daemon.controller.revision();
        let actions = daemon.out.take();
        let events = daemon.controller.take_events();
        let cut = daemon.cut_peers;
        for action in actions {
            match action {
                Action::Platform { op, request } => {
                    self.fly(name, start, HOP + self.delay, Flight::Ask(op, request));
                }
                Action::Send { to, message } if !cut => {
                    let Some(peer) = self.daemons.get(to.as_str()) else {
                        continue;
                    };
                    let start = peer.start;
                    let flight = Flight::Message(name.to_owned(), revision, message);
                    self.fly(to.as_str(), start, HOP, flight);
                }
                _ => {}
            }
        }
        for event in events {
            self.note(name, event);
        }
    }

    fn note(&mut self, name: &str, event: Event) {
        let now = self.now;
        match event {
            Event::InForce { revision } => {
                let view = self.daemons[name].controller.view();
                assert!(view.revision >= revision, "the view fell below {revision}");
                let preset = &view.doc.preset;
                self.log.push(format!(
                    "{now:>6} {name}: revision {revision} in force, preset {preset}"
                ));
                let first = self
                    .seen
                    .entry(view.revision)
                    .or_insert_with(|| view.doc.clone());
                if *first != view.doc {
                    self.forks += 1;
                    self.log
                        .push(format!("{now:>6} revision {revision} has two contents"));
                }
            }
            Event::Outcome { call, outcome } => {
                let id = self.calls[&call.0].clone();
                let code = outcome.code();
                let said = match &outcome {
                    Outcome::Accepted { revision } => format!(", revision {revision}"),
                    Outcome::Conflict { revision } => format!(", found revision {revision}"),
                    Outcome::Unknown { base } => format!(", would follow {base}"),
                    Outcome::ServiceOlder { shown, highest } => {
                        format!(", shows {shown}, in force {highest}")
                    }
                    Outcome::Invalid { faults } => {
                        let lines = faults.iter().map(|fault| format!("\n         {fault}"));
                        lines.collect()
                    }
                    _ => String::new(),
                };
                self.log
                    .push(format!("{now:>6} {name}: {id}: {code}{said}"));
                self.outcomes.push((id, outcome));
            }
        }
    }

    fn fly(&mut self, to: &str, start: u64, delay: u64, flight: Flight) {
        self.count += 1;
        let key = (self.now + delay, self.count);
        self.flights.insert(key, (to.to_owned(), start, flight));
    }
}

impl Daemon {
    fn act(&mut self, now: u64, act: impl FnOnce(&mut ConfigurationController, &mut Context<'_>)) {
        let before = self.controller.revision();
        let mut cx = Context {
            now: Millis(now),
            out: &mut self.out,
            rng: &mut self.rng,
        };
        act(&mut self.controller, &mut cx);
        assert!(self.controller.revision() >= before, "a revision fell");
    }
}
