//! The small test language of scripted scenarios.
//!
//! A scenario is a data file of commands, each with what it is expected to print:
//!
//! - `world size=3 slots=4 [endpoints=2]`: begins anew with so many instances;
//! - `world size=3 unset`: the same without a configuration, which is then applied;
//! - `change id=1 at=0 preset=exams|drain=slow|undrain=slow`, `changes`: asks for a change, prints
//!   what became of each and what each instance has in force;
//! - `bill at=0`: prints what is charged by model;
//! - `ticket at=0`: asks instance 0 for a ticket, kept for later sendings;
//! - `send id=1 at=0 kind=batch [key=k] [ticket] [retry=1] [body=text] [stream]`;
//! - `run ms=500`, `leave at=0`, `kill at=0`, `restart at=0`, `freeze at=0`, `wake at=0`;
//! - `cut a=0 b=1`, `heal`, `gone id=1`;
//! - `endpoint id=fast down|up|freeze|thaw|break=2|mend`, `platform down|up|lose=1`;
//! - `deaths`: prints how often each endpoint's process died;
//! - `show`: prints what each call got; `check`: prints the promises broken.

use std::fmt::Write;
use std::sync::Arc;

use datadriven::TestCase;

use crate::World;
use crate::bill;
use crate::changes::Wish;
use crate::configuration;
use crate::configuration::KINDS;
use crate::configuration::WorkKind;
use crate::history::Sending;
use crate::history::runs;
use crate::operators;
use crate::world::MakeScheduler;
use siskinyoke_base::CallHead;
use siskinyoke_base::Incarnation;
use siskinyoke_base::Millis;
use siskinyoke_base::Route;
use siskinyoke_base::Ticket;
use siskinyoke_base::message::Part;
use siskinyoke_control::CallId;
use siskinyoke_control::configuration::View;
use siskinyoke_control::core::Event;
use siskinyoke_policy::Simple;

/// Runs the commands of one scenario.
pub struct Script {
    world: World,
    ticket: Option<String>,
}

impl Default for Script {
    fn default() -> Self {
        Self {
            world: world(1, 4, 2, true),
            ticket: None,
        }
    }
}

impl Script {
    /// Runs one command and returns what it prints.
    pub fn run(&mut self, case: &TestCase) -> String {
        let at = number(case, "at").unwrap_or(0);
        match case.directive.as_str() {
            "world" => {
                let size = number(case, "size").unwrap_or(1);
                let slots = number(case, "slots").unwrap_or(4);
                let count = number(case, "endpoints").unwrap_or(2);
                let set = !case.args.contains_key("unset");
                *self = Self {
                    world: world(size, slots, count, set),
                    ticket: None,
                };
            }
            "ticket" => self.ticket = Some(ticket(&mut self.world, at)),
            "send" => self.send(case, at),
            "run" => self
                .world
                .run(Millis(number(case, "ms").unwrap_or(0) as u64)),
            "leave" => self.world.schedule(at, Millis::ZERO, Event::Leave),
            "kill" => self.world.kill(at),
            "restart" => self.world.restart(at),
            "freeze" => self.world.freeze(at),
            "wake" => self.world.wake(at),
            "cut" => {
                let pair = (
                    number(case, "a").unwrap_or(0),
                    number(case, "b").unwrap_or(1),
                );
                self.world.cuts.insert(pair);
            }
            "heal" => self.world.cuts.clear(),
            "gone" => {
                let call = CallId(number(case, "id").unwrap_or(0) as u64);
                self.world.history.broke(call);
                self.world.schedule(at, Millis(1), Event::Gone { call });
            }
            "endpoint" => self.endpoint(case),
            "platform" => self.platform(case),
            "change" => self.change(case, at),
            "changes" => return self.changes(),
            "bill" => return self.bill(at),
            "deaths" => return self.deaths(),
            "show" => return self.show(),
            "check" => return self.check(),
            other => return format!("unknown command {other}\n"),
        }
        String::from("ok\n")
    }

    fn send(&mut self, case: &TestCase, at: usize) {
        let kind = KINDS
            .iter()
            .find(|kind| Some(kind.target) == word(case, "kind").as_deref());
        let kind = kind.copied().unwrap_or(KINDS[3]);
        let id = number(case, "id").unwrap_or(0) as u64;
        let ticket = case
            .args
            .contains_key("ticket")
            .then(|| self.ticket.clone())
            .flatten();
        let order = Order {
            call: CallId(id),
            at,
            kind,
            key: word(case, "key"),
            ticket,
            retry: number(case, "retry").map(|count| u32::try_from(count).unwrap_or(0)),
            body: word(case, "body")
                .or_else(|| word(case, "key"))
                .unwrap_or_else(|| format!("call-{id}")),
            stream: case.args.contains_key("stream"),
        };
        send(&mut self.world, order);
    }

    fn change(&mut self, case: &TestCase, at: usize) {
        let drain = word(case, "drain").map(|name| Wish::Drain(name.as_str().into(), true));
        let undrain = word(case, "undrain").map(|name| Wish::Drain(name.as_str().into(), false));
        let preset = word(case, "preset").map(Wish::Preset);
        let id = number(case, "id").unwrap_or(0) as u64;
        if let Some(wish) = drain.or(undrain).or(preset) {
            operators::ask(&mut self.world, at, id, wish);
        }
    }

    fn changes(&mut self) -> String {
        let mut out = self.world.changes.to_string();
        for at in 0..self.world.size() {
            if self.world.is_running(at) {
                let view = self.world.core(at).view();
                let preset = &view.doc.preset;
                let _ = writeln!(out, "{at}: revision {} {preset}", view.revision);
            }
        }
        out
    }

    fn bill(&mut self, at: usize) -> String {
        let mut out = String::new();
        for (model, count) in bill::charged(&mut self.world, at) {
            let _ = writeln!(out, "{model}: {count}");
        }
        out
    }

    fn endpoint(&mut self, case: &TestCase) {
        let id = word(case, "id").unwrap_or_default();
        let Some(endpoint) = self.world.endpoints.get_mut(&id.as_str().into()) else {
            return;
        };
        for name in case.args.keys() {
            match name.as_str() {
                "down" => endpoint.down = true,
                "up" => endpoint.down = false,
                "freeze" => endpoint.frozen = true,
                "thaw" => endpoint.frozen = false,
                "mend" => endpoint.break_after = None,
                "break" => {
                    let limit = number(case, "break").unwrap_or(0);
                    endpoint.break_after = u32::try_from(limit).ok();
                }
                "events" => {
                    endpoint.events =
                        u32::try_from(number(case, "events").unwrap_or(3)).unwrap_or(3);
                }
                _ => {}
            }
        }
    }

    fn platform(&mut self, case: &TestCase) {
        for name in case.args.keys() {
            match name.as_str() {
                "down" => self.world.platform.down = true,
                "up" => self.world.platform.down = false,
                "older" => self.world.platform.older = true,
                "newest" => self.world.platform.older = false,
                "lose" => {
                    let count = number(case, "lose").unwrap_or(0);
                    self.world.platform.lose = u32::try_from(count).unwrap_or(0);
                }
                _ => {}
            }
        }
    }

    fn deaths(&self) -> String {
        let mut out = String::new();
        for (id, endpoint) in &self.world.endpoints {
            let _ = writeln!(out, "{id}: {} deaths", endpoint.deaths.len());
        }
        out
    }

    fn show(&self) -> String {
        let mut out = String::new();
        for (call, sending) in &self.world.history.calls {
            let count = runs(sending, &self.world.endpoints);
            let pieces = sending
                .parts
                .iter()
                .filter(|part| matches!(part, Part::Piece(_)));
            let end = match (sending.end, sending.broken) {
                (Some(code), _) => format!("{code} {}", code.kind()),
                (None, true) => String::from("broken"),
                (None, false) => String::from("open"),
            };
            let key = &sending.key;
            let _ = writeln!(
                out,
                "{}: {key} {end}, {} pieces, ran {count}",
                call.0,
                pieces.count()
            );
        }
        out
    }

    fn check(&mut self) -> String {
        let views = self.world.views();
        let views = views.iter().map(Arc::as_ref);
        let changes = self.world.changes.finish(views);
        self.world.history.breaches.extend(changes);
        self.world.history.finish(&self.world.endpoints);
        if self.world.history.breaches.is_empty() {
            return String::from("no breach\n");
        }
        self.world.history.breaches.join("\n") + "\n"
    }
}

/// One sending as a test orders it.
#[derive(Debug, Clone)]
pub struct Order {
    /// Its number.
    pub call: CallId,
    /// The instance.
    pub at: usize,
    /// The kind of work.
    pub kind: WorkKind,
    /// The idempotency key.
    pub key: Option<String>,
    /// The ticket.
    pub ticket: Option<String>,
    /// How many times it was sent before.
    pub retry: Option<u32>,
    /// The body.
    pub body: String,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// Sends a request as ordered.
pub fn send(world: &mut World, order: Order) {
    let sending = Sending {
        instance: order.at,
        target: order.kind.target,
        key: order.key.clone().unwrap_or_else(|| String::from("-")),
        body: order.body.clone(),
        class: order.kind.class,
        owner: owner(order.ticket.as_deref()),
        sent: world.now,
        rank: order.kind.rank,
        protected: order.kind.protected,
        parts: Vec::new(),
        end: None,
        ended: Millis::ZERO,
        hits: 0,
        broken: false,
    };
    let head = CallHead {
        route: Route::Chat {
            model: order.kind.target.into(),
        },
        bearer: *blake3::hash(configuration::KEY.as_bytes()).as_bytes(),
        key: order.key,
        ticket: order.ticket,
        retry: order.retry,
        care: None,
        need: None,
        stream: order.stream,
        prompt: 10,
        output: 10,
        prefix: Vec::new(),
        content: String::from("application/json"),
        body: order.body.into(),
    };
    world.history.sent(order.call, sending);
    world.arrive(order.at, order.call, head);
}

/// Returns the daemon start that a ticket names.
fn owner(ticket: Option<&str>) -> Option<Incarnation> {
    Ticket::parse(ticket?).ok().map(|ticket| ticket.owner)
}

/// Asks an instance for a ticket.
pub fn ticket(world: &mut World, at: usize) -> String {
    let call = CallId(u64::MAX - world.now.0);
    let bearer = *blake3::hash(configuration::KEY.as_bytes()).as_bytes();
    let parts = world.ask(at, call, Event::Locate { call, bearer });
    let body = parts.iter().find_map(|part| match part {
        Part::Piece(bytes) => serde_json::from_slice::<serde_json::Value>(bytes).ok(),
        _ => None,
    });
    body.and_then(|body| body["ticket"].as_str().map(str::to_owned))
        .unwrap_or_default()
}

fn world(size: usize, slots: usize, count: usize, set: bool) -> World {
    let slots = u32::try_from(slots).unwrap_or(1);
    let doc = configuration::document(slots, count);
    let make: MakeScheduler = |_| Box::new(Simple::default());
    if set {
        let mut world = World::new(size, 1, View::new(1, doc), make);
        // The members meet before the scenario begins.
        world.run(MEETING);
        return world;
    }
    let mut world = World::unset(size, 1, &doc, make);
    operators::start(&mut world, &doc);
    world
}

/// How long the members of a new world take to meet.
const MEETING: Millis = Millis::from_secs(2);

fn word(case: &TestCase, name: &str) -> Option<String> {
    case.args
        .get(name)
        .and_then(|values| values.first().cloned())
}

fn number(case: &TestCase, name: &str) -> Option<usize> {
    word(case, name).and_then(|text| text.parse().ok())
}
