//! The queues before the endpoints: who waits, who goes where, who is refused.
//!
//! Endpoints run what arrives in order of arrival and know no priorities, so order exists only
//! here. An endpoint is never given more than it runs at once, counted over all instances, and
//! what cannot start waits in the order of its rank. Every instance decides alone, from the same
//! reports, whose request the next free place is for: the most urgent, then the longest waiting.

mod expiry;
mod lending;
mod pace;
mod starting;
mod waits;

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::Ask;
use crate::Endpoint;
use crate::EndpointKey;
use crate::Outcome;
use crate::Rank;
use crate::Reason;
use crate::Refusal;
use crate::Ticket;
use crate::demand::Demand;
use crate::load::Load;
use crate::load::float;
use crate::load::millis;
use crate::peak::Peak;
use crate::peers::Peers;
use crate::placing::Placing;
use crate::queue::Place;
use crate::queue::Queue;
use crate::registry::Registry;
use crate::report::Busy;
use crate::report::Waiting;
use crate::report::short;
use crate::silence;
use crate::wait;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// When a caller should come back whose service has no endpoint: new ones are known within that.
const ABSENT: Millis = Millis(500);

/// What was decided of a waiting request.
#[derive(Debug, Clone)]
pub enum Decision {
    /// It goes to this endpoint now.
    Start(Ticket, Arc<Endpoint>),
    /// It is turned away unrun.
    Refuse(Ticket, Refusal),
}

// A request at an endpoint.
#[derive(Debug)]
struct Running {
    ask: Ask,
    key: EndpointKey,
    sent: Millis,
    // Prompt tokens of others that its endpoint had still to read when it was sent.
    behind: f64,
    // When the first part of its answer came.
    began: Option<Millis>,
}

// What the decisions of one moment look at.
#[derive(Debug, Clone, Copy)]
pub(crate) struct View<'a> {
    pub(crate) now: Millis,
    pub(crate) registry: &'a Registry,
    pub(crate) peers: &'a Peers,
}

/// The queues before the endpoints.
#[derive(Debug, Default)]
pub struct Scheduler {
    placing: Placing,
    queues: BTreeMap<Arc<str>, Queue>,
    waiting: Map<Ticket, Ask>,
    running: Map<Ticket, Running>,
    counts: BTreeMap<EndpointKey, Busy>,
    loads: Map<Arc<str>, Load>,
    demands: Map<Arc<str>, Demand>,
    peaks: Map<(Arc<str>, Rank), Peak>,
    // Places given to other cells, by the question that asked for each.
    loans: Map<u64, lending::Loan>,
    // When other cells were last asked for a place, by request, and what they said, by service.
    asked: Map<Ticket, Millis>,
    answers: Map<Arc<str>, lending::LastAnswer>,
    last: u64,
}

impl Scheduler {
    /// Makes empty queues for an instance of this name in a data centre.
    pub fn new(name: &str, centre: &str) -> Self {
        Self {
            placing: Placing::new(name, centre),
            ..Self::default()
        }
    }

    /// Lets a request wait, or refuses it at once if it would wait too long.
    ///
    /// # Errors
    ///
    /// The refusal; nothing is kept of the request.
    pub fn admit(
        &mut self,
        now: Millis,
        ask: Ask,
        registry: &Registry,
        peers: &Peers,
    ) -> Result<Ticket, Refusal> {
        let places = places(&ask.service, registry);
        if places == 0 {
            return Err(Refusal {
                reason: Reason::NoEndpoint,
                after: ABSENT,
            });
        }
        let load = self.load(&ask.service);
        let ask = Ask {
            turn: wait::turn(&ask, load),
            ..ask
        };
        let demand = self.demands.entry(ask.service.clone()).or_default();
        demand.asked(now, ask.rank, load.stay_of(&ask.work));
        let view = View {
            now,
            registry,
            peers,
        };
        if self.on_time(&view, &ask) {
            return Ok(self.enqueue(ask));
        }
        // Another cell may have a place: it is asked before the request is refused.
        if registry.divided() && !self.declined(now, &ask.service) {
            return Ok(self.enqueue(Ask {
                pressed: true,
                ..ask
            }));
        }
        let ask = self.as_late(&view, ask)?;
        Ok(self.enqueue(ask))
    }

    /// Lets a request wait for another endpoint after one did not serve it.
    pub fn again(&mut self, ask: Ask) -> Ticket {
        self.enqueue(Ask {
            late: false,
            pressed: false,
            canary: false,
            ..ask
        })
    }

    /// Decides what can be decided now.
    pub fn decide(&mut self, now: Millis, registry: &Registry, peers: &Peers) -> Vec<Decision> {
        let view = View {
            now,
            registry,
            peers,
        };
        let mut decisions = Vec::new();
        let services: Vec<Arc<str>> = self.queues.keys().cloned().collect();
        for service in services {
            self.start(&view, &service, &mut decisions);
            self.expire(&view, &service, &mut decisions);
        }
        self.queues.retain(|_, queue| !queue.is_empty());
        decisions
    }

    /// Takes note that a request's stay at its endpoint ended, and returns the request.
    pub fn ended(&mut self, now: Millis, ticket: Ticket, outcome: Outcome) -> Option<Ask> {
        let Running {
            mut ask,
            key,
            sent,
            began,
            ..
        } = self.running.remove(&ticket)?;
        ask.sent += u32::from(outcome != Outcome::Unreached);
        if began.is_none() {
            self.read(key, &ask);
        }
        if let Some(busy) = self.counts.get_mut(&key) {
            busy.count = busy.count.saturating_sub(1);
        }
        self.counts.retain(|_, busy| busy.count > 0);
        self.placing.ended(now, key, outcome);
        if let Outcome::Done {
            first,
            took,
            parts,
            pause,
        } = outcome
        {
            if began.is_none() {
                self.saw_first(key, &ask, now.since(sent));
            }
            self.saw_rest(key, &ask, took.since(first), parts, pause);
            let load = self.loads.entry(ask.service.clone()).or_default();
            load.finished(&ask.work, first, took, parts);
        }
        Some(ask)
    }

    /// Takes note that the first part of a request's answer came.
    pub fn began(&mut self, now: Millis, ticket: Ticket) {
        let Some(running) = self.running.get_mut(&ticket) else {
            return;
        };
        running.began = Some(now);
        let (key, first) = (running.key, now.since(running.sent));
        let ask = running.ask.clone();
        self.read(key, &ask);
        self.saw_first(key, &ask, first);
    }

    /// Returns how long the endpoint of a running request may stay silent.
    pub fn silence(&self, ticket: Ticket) -> Millis {
        let Some(running) = self.running.get(&ticket) else {
            return silence::PAUSE;
        };
        let Running {
            ask, key, behind, ..
        } = running;
        let usual = self.load(&ask.service).first_of(&ask.work.behind(*behind));
        silence::limit(millis(float(usual) * self.placing.pace(*key)))
    }

    /// Takes a waiting request out, as its caller left.
    pub fn cancel(&mut self, ticket: Ticket) {
        let Some(ask) = self.waiting.remove(&ticket) else {
            return;
        };
        if let Some(queue) = self.queues.get_mut(&ask.service) {
            queue.remove(place(ticket, &ask));
        }
    }

    /// Takes out waiting requests that must not run any more.
    pub fn take_out(&mut self, wanted: impl Fn(&Ask) -> bool) -> Vec<Ticket> {
        let found = self.waiting.iter().filter(|row| wanted(row.1));
        let tickets: Vec<Ticket> = found.map(|row| *row.0).collect();
        for ticket in &tickets {
            self.cancel(*ticket);
        }
        tickets
    }

    /// Returns the request that runs under a ticket.
    pub fn running(&self, ticket: Ticket) -> Option<&Ask> {
        self.running.get(&ticket).map(|running| &running.ask)
    }

    /// Returns whether an endpoint that was not tried has a place for a request.
    pub fn elsewhere(&self, now: Millis, ask: &Ask, registry: &Registry, peers: &Peers) -> bool {
        let view = View {
            now,
            registry,
            peers,
        };
        let free = self.free(&view, &ask.service);
        free.iter()
            .any(|room| !ask.tried.contains(&room.endpoint.key()))
    }

    /// Takes in what a peer says of the endpoints that it uses.
    pub fn heard(&mut self, rows: &[Busy]) {
        self.placing.heard(rows);
    }

    /// Returns this instance's requests at each endpoint.
    pub fn counts(&self) -> Vec<Busy> {
        let counts = self.counts.iter().map(|(key, busy)| Busy {
            pace: self.placing.tell(*key),
            ..*busy
        });
        counts.collect()
    }

    /// Sums up what waits here.
    pub fn summary(&self, now: Millis) -> Vec<Waiting> {
        self.queues
            .iter()
            .flat_map(|(service, queue)| {
                let load = self.load(service);
                let stay = |ticket| load.stay_of(&self.waiting[&ticket].work);
                queue.summary(now, short(service), stay)
            })
            .collect()
    }

    /// Returns how many requests wait and how many run.
    pub fn size(&self) -> (usize, usize) {
        (self.waiting.len(), self.running.len())
    }

    /// Returns how a service's requests fared lately.
    pub fn load(&self, service: &str) -> Load {
        self.loads.get(service).copied().unwrap_or_default()
    }

    /// Forgets endpoints that are gone.
    pub fn forget(&mut self, registry: &Registry) {
        let known: Vec<EndpointKey> = registry.all().map(|endpoint| endpoint.key()).collect();
        self.placing.forget(&known);
    }

    // What runs at an endpoint by this instance's count.
    fn busy(&mut self, key: EndpointKey) -> &mut Busy {
        self.counts.entry(key).or_insert(Busy {
            endpoint: key.short(),
            count: 0,
            unread: 0,
            pace: 0,
        })
    }

    fn enqueue(&mut self, ask: Ask) -> Ticket {
        self.last += 1;
        let ticket = Ticket(self.last);
        let queue = self.queues.entry(ask.service.clone()).or_default();
        queue.push(place(ticket, &ask));
        self.waiting.insert(ticket, ask);
        ticket
    }
}

fn places(service: &str, registry: &Registry) -> u32 {
    registry
        .fit(service)
        .iter()
        .map(|endpoint| endpoint.slots)
        .sum()
}

fn place(ticket: Ticket, ask: &Ask) -> Place {
    (ask.order(), ask.turn, ticket)
}
