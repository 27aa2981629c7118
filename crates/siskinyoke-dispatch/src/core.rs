//! One instance's state: what it believes, what waits and what runs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::Ask;
use crate::Configuration;
use crate::Kind;
use crate::Organisation;
use crate::Outcome;
use crate::Rank;
use crate::Reason;
use crate::Refusal;
use crate::Report;
use crate::Route;
use crate::Scheduler;
use crate::Ticket;
use crate::allowance::Allowances;
use crate::allowance::Measure;
use crate::allowance::Wanted;
use crate::budget::Budget;
use crate::cells;
use crate::directory;
use crate::listing::Listing;
use crate::peers::Heard;
use crate::peers::Peers;
use crate::registry::Registry;
use crate::report::About;
use crate::report::Place;
use crate::scheduler::Decision;
use crate::suspects::Suspects;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// Suspect work and addresses told in one report, so that it fits a datagram.
const TOLD: usize = 8;

/// When a caller should come back that was refused as no configuration is known.
const UNREADY: Millis = Millis(300);

/// When a caller should come back whose work crashed endpoints: not soon.
const SUSPECT: Millis = Millis::from_secs(30);

/// The fewest instances among which the retries beside the budget's ratio are shared out.
///
/// A few more than the smallest deployments have, as the list may lag behind machines added.
const FLEET: usize = 12;

/// How long an instance that went still counts for the making of cells.
///
/// A restart takes some seconds. If cells changed with each one, a rolling restart of the fleet
/// would move endpoints several times a second, and no count of what runs there would hold.
const RESTART: Millis = Millis::from_secs(15);

/// How long the use of an organisation stands in each report after it changed.
///
/// Some reports are lost; five in a row are not, and the rest stands in every whole report.
const RECENT: Millis = Millis(250);

/// What an instance is, fixed for the life of its process.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Its name.
    pub name: String,
    /// Where it is found.
    pub place: Place,
    /// Names this start of its process; drawn at random.
    pub source: u64,
    /// The part of a service's requests that may be sent again, over all instances.
    pub retries: f64,
    /// Retries allowed beside that part, over all instances.
    pub floor: f64,
    /// How allowances are measured.
    pub measure: Measure,
}

/// What a caller asks for, before anything is decided.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The host it names.
    pub host: &'a str,
    /// Its path.
    pub path: &'a str,
    /// Its key, if it has one.
    pub key: Option<&'a str>,
    /// How long its caller waits, if it says so.
    pub deadline: Option<Millis>,
    /// Prompt and output tokens, if it names them.
    pub tokens: Option<(u64, u64)>,
    /// An evenly spread number of its own, to split traffic by.
    pub draw: u64,
}

/// A request that may go on: who sent it and how it is to be served.
#[derive(Debug, Clone)]
pub struct Pass {
    /// Its route.
    pub route: Arc<Route>,
    /// The service that has to run it.
    pub service: Arc<str>,
    /// Its organisation, where one is needed.
    pub organisation: Option<Arc<Organisation>>,
    /// How urgent it is.
    pub rank: Rank,
    /// When it arrived.
    pub arrived: Millis,
    /// When nobody waits for it any more.
    pub until: Millis,
    /// Its size for placing and pacing.
    pub size: f64,
    /// What it takes of its organisation's allowance.
    pub units: f64,
}

/// One instance's state.
#[derive(Debug)]
pub struct Core {
    me: Identity,
    configuration: Option<Arc<Configuration>>,
    registry: Registry,
    scheduler: Scheduler,
    peers: Peers,
    instances: Listing<Place>,
    // Instances that went, with when: most of them are back in a moment.
    departed: BTreeMap<String, Millis>,
    cell: usize,
    cells: usize,
    allowances: Allowances,
    budgets: Map<Arc<str>, Budget>,
    suspects: Suspects,
    leaving: bool,
    number: u64,
    started: Option<Millis>,
}

/// By how much longer than this instance a peer may run and still count as no older.
const TOGETHER: Millis = Millis(1_500);

impl Core {
    /// Makes the state of an instance that knows nothing yet.
    pub fn new(me: Identity) -> Self {
        let scheduler = Scheduler::new(&me.place.centre);
        Self {
            configuration: None,
            registry: Registry::default(),
            scheduler,
            peers: Peers::default(),
            instances: Listing::default(),
            departed: BTreeMap::new(),
            cell: 0,
            cells: 1,
            allowances: Allowances::new(me.measure),
            budgets: Map::default(),
            suspects: Suspects::default(),
            leaving: false,
            number: 0,
            started: None,
            me,
        }
    }

    /// Puts a configuration in force, unless it is older than the one that is.
    ///
    /// Returns whether it is in force now and was not before.
    pub fn configure(&mut self, now: Millis, configuration: Configuration) -> bool {
        if self.version() >= configuration.version {
            return false;
        }
        self.started.get_or_insert(now);
        let share = self.peers.share(now);
        self.allowances
            .configure(now, configuration.organisations(), share);
        self.configuration = Some(Arc::new(configuration));
        true
    }

    /// Returns the version in force, 0 for none.
    pub fn version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |known| known.version)
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Returns the endpoints that are known.
    pub fn registry(&mut self) -> &mut Registry {
        &mut self.registry
    }

    /// Returns the other instances.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Takes note of an instance's entry in the store.
    pub fn list(&mut self, name: &str, place: Place) {
        self.departed.remove(name);
        self.instances.put(name, place);
        self.settle();
    }

    /// Takes note that an instance's entry is gone.
    pub fn unlist(&mut self, now: Millis, name: &str) {
        self.departed.insert(name.to_owned(), now);
        self.instances.remove(now, name);
        self.settle();
    }

    /// Takes note of the instances that a whole reading of the store found.
    pub fn keep_listed(&mut self, now: Millis, found: &[String]) {
        self.instances.keep(now, found);
        self.settle();
    }

    /// Takes note that the store could not be reached.
    pub fn store_lost(&mut self) {
        self.registry.store_lost();
        self.instances.store_lost();
    }

    /// Takes note that the store answers again.
    pub fn store_back(&mut self, now: Millis) {
        self.registry.store_back(now);
        self.instances.store_back(now);
    }

    /// Returns the listed instances, with whether each belongs to this one's cell.
    pub fn listed(&self) -> impl Iterator<Item = (&Place, bool)> {
        let others = self.instances.iter().filter(|row| row.0 != self.me.name);
        others.map(|(name, place)| (place, self.mate(name)))
    }

    /// Returns the queues.
    pub fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }

    /// Returns whether callers may be sent here.
    pub fn ready(&self) -> bool {
        self.configuration.is_some() && !self.leaving && self.registry.all().next().is_some()
    }

    /// Starts to leave: no callers are sent here any more.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns whether this instance is leaving.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// Passes a request through the filters that need only its head.
    ///
    /// # Errors
    ///
    /// The refusal; the request has not run and never will.
    pub fn pass(&mut self, now: Millis, request: Request<'_>) -> Result<Pass, Refusal> {
        let Some(configuration) = self.configuration.clone() else {
            return Err(Refusal {
                reason: Reason::Unready,
                after: UNREADY,
            });
        };
        let route = find_route(&configuration, request)?;
        let organisation = authenticate(&configuration, &route, request)?;
        let pass = measure(now, route, organisation, request)?;
        self.budget(&pass.service).request(now);
        self.take_allowance(now, &pass, chance(request.draw))?;
        Ok(pass)
    }

    /// Lets a whole request wait for an endpoint.
    ///
    /// # Errors
    ///
    /// The refusal; the request has not run, and its allowance is given back.
    pub fn admit(&mut self, now: Millis, pass: &Pass, print: u64) -> Result<Ticket, Refusal> {
        let result = if self.suspects.refuses(now, print) {
            Err(Refusal {
                reason: Reason::Suspect,
                after: SUSPECT,
            })
        } else {
            let ask = ask(pass, print);
            self.scheduler.admit(now, ask, &self.registry, &self.peers)
        };
        if result.is_err() {
            self.give_back(pass);
        }
        result
    }

    /// Gives back the allowance of a request that did not run.
    pub fn give_back(&mut self, pass: &Pass) {
        if let Some(organisation) = &pass.organisation {
            self.allowances.give_back(organisation, pass.units);
        }
    }

    /// Decides what can be decided now.
    pub fn decide(&mut self, now: Millis) -> Vec<Decision> {
        self.scheduler.decide(now, &self.registry, &self.peers)
    }

    /// Takes note of how a stay ended, and lets the request wait for another endpoint if
    /// `more` is set and both its route and the retry budget allow one.
    pub fn ended(
        &mut self,
        now: Millis,
        ticket: Ticket,
        outcome: Outcome,
        more: bool,
    ) -> Option<Ticket> {
        let ask = self.scheduler.ended(now, ticket, outcome)?;
        match outcome {
            Outcome::Broken => self.suspects.crashed(now, ask.fingerprint),
            Outcome::Done { .. } => self.suspects.cleared(ask.fingerprint),
            _ => {}
        }
        if !more || !self.may_retry(now, &ask, outcome) {
            return None;
        }
        Some(self.scheduler.again(ask))
    }

    /// Takes out a request, waiting or running, whose caller left.
    pub fn cancel(&mut self, now: Millis, ticket: Ticket) {
        self.scheduler.cancel(ticket);
        self.scheduler.ended(now, ticket, Outcome::Left);
    }

    /// Returns whether a running request whose endpoint is silent may be given up for another.
    ///
    /// Only where another has a place for it: an endpoint's silence alone is no reason to end its
    /// work. It takes the retry from the budget, so that another surely may follow.
    pub fn spare(&mut self, now: Millis, ticket: Ticket) -> bool {
        let Some(ask) = self.scheduler.running(ticket).cloned() else {
            return false;
        };
        ask.route.idempotent()
            && ask.sent + 1 < ask.route.attempts
            && now < ask.until
            && self
                .scheduler
                .elsewhere(now, &ask, &self.registry, &self.peers)
            && {
                let floor = self.floor();
                self.budget(&ask.service).take(now, floor)
            }
    }

    /// Takes in a peer's report; returns whether the peer, or its start, is new.
    pub fn heard(&mut self, now: Millis, report: Report) -> bool {
        let source = report.source;
        let mut mate = true;
        if let Some(about) = &report.about {
            if about.name == self.me.name {
                return false;
            }
            self.learn(now, about);
            mate = self.mate(&about.name);
        }
        if !mate {
            self.peers.dismiss(source);
            return false;
        }
        let spent = report.spent.clone();
        let young = Millis(report.age) <= self.age(now) + TOGETHER;
        match self.peers.heard(now, report) {
            Heard::Nothing => return false,
            Heard::First(before) => {
                if let Some(before) = before {
                    self.allowances.forget(before);
                }
                self.allowances.heard(source, young, &spent);
                return true;
            }
            Heard::Next => self.allowances.heard(source, young, &spent),
        }
        false
    }

    fn learn(&mut self, now: Millis, about: &About) {
        for key in &about.leavers {
            self.registry.left(now, *key);
        }
        for (print, crashes) in &about.suspects {
            self.suspects.heard(now, *print, *crashes);
        }
    }

    /// Does what is due with time: drops what is gone.
    pub fn sweep(&mut self, now: Millis) {
        self.registry.sweep(now);
        let before = self.departed.len();
        self.departed.retain(|_, since| now.since(*since) < RESTART);
        if self.instances.sweep(now) || self.departed.len() < before {
            self.settle();
        }
        for source in self.peers.sweep(now) {
            self.allowances.forget(source);
        }
        self.scheduler.forget(&self.registry);
    }

    /// Makes the next report to peers, with what seldom changes if `whole` is set.
    pub fn report(&mut self, now: Millis, whole: bool) -> Report {
        self.number += 1;
        let since = if whole {
            Millis::ZERO
        } else {
            Millis(now.0.saturating_sub(RECENT.0))
        };
        Report {
            source: self.me.source,
            age: self.age(now).0,
            number: self.number,
            ready: self.ready(),
            leaving: self.leaving,
            configuration: self.version(),
            running: self.scheduler.counts(),
            waiting: self.scheduler.summary(now),
            spent: self.allowances.spent(since),
            about: whole.then(|| self.about(now)),
        }
    }

    /// Chooses the instances that a caller of a data centre is told to use.
    pub fn addresses(&self, now: Millis, centre: &str) -> Vec<String> {
        let own = self.about(now);
        let peers = self
            .peers
            .fresh(now)
            .filter(|it| it.report.ready && !it.report.leaving);
        let mates = peers.map(|peer| &peer.about.place);
        let others = self.listed().filter(|row| !row.1).map(|row| row.0);
        let others = others.filter(|_| self.cells > 1);
        let ready = mates
            .chain(self.ready().then_some(&own.place))
            .chain(others);
        directory::choose(centre, ready)
    }

    // The instances that cells are made of: those listed, and those that may be restarting.
    fn fleet(&self) -> BTreeSet<&str> {
        let listed = self.instances.iter().map(|row| row.0);
        listed
            .chain(self.departed.keys().map(String::as_str))
            .collect()
    }

    // Finds out which cell of the fleet this instance belongs to.
    fn settle(&mut self) {
        self.peers.listed(self.fleet().len());
        let cells = cells::count(self.fleet().len());
        let mut sizes = vec![0; cells];
        for name in self.fleet() {
            sizes[cells::home(name, cells)] += 1;
        }
        self.cell = cells::home(&self.me.name, cells);
        self.cells = cells;
        self.registry.settle(self.cell, sizes);
        if cells > 1 {
            let own = self.cell;
            self.peers.retain(|name| cells::home(name, cells) == own);
        }
    }

    fn mate(&self, name: &str) -> bool {
        cells::home(name, self.cells) == self.cell
    }

    // The part of the retries beside the budget's ratio that is this instance's.
    fn floor(&self) -> f64 {
        let fleet = self.instances.iter().count().max(FLEET);
        self.me.floor / 2.0 / f64::from(u32::try_from(fleet).unwrap_or(u32::MAX))
    }

    fn age(&self, now: Millis) -> Millis {
        self.started
            .map_or(Millis::ZERO, |started| now.since(started))
    }

    fn about(&self, now: Millis) -> About {
        About {
            name: self.me.name.clone(),
            place: self.me.place.clone(),
            leavers: self.registry.news(),
            suspects: self.suspects.news(TOLD),
            peers: self.inner_addresses(now),
        }
    }

    // A few peers, others with each report, so that all get to know all.
    fn inner_addresses(&self, now: Millis) -> Vec<String> {
        let all: Vec<&String> = self
            .peers
            .fresh(now)
            .map(|peer| &peer.about.place.inner)
            .collect();
        let skip = usize::try_from(self.number).unwrap_or(0) % all.len().max(1);
        all.iter()
            .cycle()
            .skip(skip)
            .take(all.len().min(TOLD))
            .map(|it| (*it).clone())
            .collect()
    }

    fn budget(&mut self, service: &Arc<str>) -> &mut Budget {
        let ratio = self.me.retries * 0.8;
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| Budget::new(ratio))
    }

    fn take_allowance(&mut self, now: Millis, pass: &Pass, chance: f64) -> Result<(), Refusal> {
        let Some(organisation) = &pass.organisation else {
            return Ok(());
        };
        let share = self.peers.share(now);
        let crowd = f64::from(u32::try_from(self.peers.count(now)).unwrap_or(u32::MAX));
        let wanted = Wanted {
            units: pass.units,
            crowd,
            chance,
        };
        self.allowances
            .take(now, organisation, wanted, share)
            .map_err(|after| Refusal {
                reason: Reason::Allowance,
                after,
            })
    }

    fn may_retry(&mut self, now: Millis, ask: &Ask, outcome: Outcome) -> bool {
        let unsent = outcome == Outcome::Unreached;
        let unrun = unsent || matches!(outcome, Outcome::Full | Outcome::Moved);
        if !unrun && !ask.route.idempotent() {
            return false;
        }
        if !unrun && self.suspects.refuses(now, ask.fingerprint) {
            return false;
        }
        if now >= ask.until {
            return false;
        }
        if unsent {
            return ask.tried.len() < UNSENT;
        }
        if outcome == Outcome::Silent {
            return true;
        }
        let floor = self.floor();
        ask.sent < ask.route.attempts && self.budget(&ask.service).take(now, floor)
    }
}

// Turns an evenly spread number into one from 0 to 1, by its upper half.
fn chance(draw: u64) -> f64 {
    let upper = u32::try_from(draw >> 32).unwrap_or(u32::MAX);
    f64::from(upper) / f64::from(u32::MAX)
}

/// Endpoints tried for one request when none can be reached; no part of it was sent to them.
const UNSENT: usize = 4;

fn find_route(configuration: &Configuration, request: Request<'_>) -> Result<Arc<Route>, Refusal> {
    let route = configuration.route(request.host, request.path);
    route.cloned().ok_or(Refusal {
        reason: Reason::NoRoute,
        after: Millis::ZERO,
    })
}

fn authenticate(
    configuration: &Configuration,
    route: &Route,
    request: Request<'_>,
) -> Result<Option<Arc<Organisation>>, Refusal> {
    if !configuration.keyed() {
        return Ok(None);
    }
    let holder = request.key.and_then(|key| configuration.holder(key));
    if holder.is_none() && !route.exempt {
        return Err(Refusal {
            reason: Reason::NoKey,
            after: Millis::ZERO,
        });
    }
    Ok(holder.cloned())
}

fn measure(
    now: Millis,
    route: Arc<Route>,
    organisation: Option<Arc<Organisation>>,
    request: Request<'_>,
) -> Result<Pass, Refusal> {
    let Some(service) = route.target(request.draw).cloned() else {
        return Err(Refusal {
            reason: Reason::NoEndpoint,
            after: Millis(1000),
        });
    };
    let span = request.deadline.unwrap_or(route.timeout).min(route.timeout);
    let rank = Rank::new(
        organisation.as_ref().and_then(|it| it.priority),
        route.priority,
    );
    Ok(Pass {
        service,
        rank,
        arrived: now,
        until: now + span,
        size: size(request.tokens),
        units: units(organisation.as_deref(), request.tokens),
        organisation,
        route,
    })
}

/// The time that a token of output takes, in tokens of prompt.
///
/// Engines read tens of tokens of a prompt in a millisecond and write one in some four.
const OUTPUT: f64 = 100.0;

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts stay far below 2^52"
)]
fn size(tokens: Option<(u64, u64)>) -> f64 {
    tokens.map_or(1.0, |(input, output)| input as f64 + OUTPUT * output as f64)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts stay far below 2^52"
)]
fn units(organisation: Option<&Organisation>, tokens: Option<(u64, u64)>) -> f64 {
    match organisation {
        Some(it) if it.tokens => tokens.map_or(it.plain, |(input, output)| (input + output) as f64),
        Some(_) => 1.0,
        None => 0.0,
    }
}

fn ask(pass: &Pass, fingerprint: u64) -> Ask {
    Ask {
        service: pass.service.clone(),
        route: pass.route.clone(),
        rank: pass.rank,
        arrived: pass.arrived,
        until: pass.until,
        size: pass.size,
        fingerprint,
        tried: Vec::new(),
        sent: 0,
        late: false,
    }
}

impl Pass {
    /// Returns whether the answer comes as events.
    pub fn streams(&self) -> bool {
        self.route.kind == Kind::Stream
    }
}
