//! Plays one load against one policy on every instance, in virtual time.

use std::collections::BTreeMap;

use crate::allocator::allocate;
use crate::engine::Engine;
use crate::engine::Progress;
use crate::load::Load;
use crate::load::SPAN;
use crate::request::Fate;
use crate::request::Request;
use crate::rival::Rival;
use crate::site::INSTANCES;
use crate::site::ORGANISATIONS;
use crate::site::Site;
use siskinyoke_base::Code;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Millis;
use siskinyoke_base::OrganisationId;
use siskinyoke_base::message::Resource;
use siskinyoke_policy::Decision;
use siskinyoke_policy::Finish;
use siskinyoke_policy::LoadReport;
use siskinyoke_policy::Scheduler;
use siskinyoke_policy::WorkId;

/// Step of the endpoints: a hundredth of the shortest need is far below what is measured.
const STEP: Millis = Millis(5);

/// How long after the last arrival the run goes on.
const DRAIN: Millis = Millis::from_secs(70);

/// Age of a load report when it arrives, and the time between two.
const REPORT_LAG: Millis = Millis::from_secs(1);

/// Time between two rounds of lease reports, and how long a lease holds.
const LEASE_ROUND: Millis = Millis(500);
const LEASE_SPAN: Millis = Millis::from_secs(2);

/// Time between two rounds of admission thresholds, and how long one stands.
const THRESHOLD_ROUND: Millis = Millis(100);
const THRESHOLD_SPAN: Millis = Millis::from_secs(1);

/// How long after its need an instance gives up on an endpoint without a sign.
const GIVE_UP: Millis = Millis::from_secs(5);

/// What a run left behind.
#[derive(Debug)]
pub struct Outcome {
    /// The requests.
    pub requests: Vec<Request>,
    /// What became of each.
    pub fates: Vec<Fate>,
    /// Protected requests refused while lower work was on an endpoint.
    pub unjust: u32,
}

#[derive(Debug)]
enum Event {
    Accept { id: usize, engine: usize },
    First { id: usize, run: u32 },
    Done { id: usize, run: u32, computed: f64 },
    Cancel { id: usize, run: u32, finish: Finish },
    Report { engine: usize, load: LoadReport },
}

struct World {
    requests: Vec<Request>,
    fates: Vec<Fate>,
    places: Vec<(usize, usize)>,
    engines: Vec<Engine>,
    policies: Vec<Box<dyn Scheduler>>,
    due: Vec<Millis>,
    routes: Vec<usize>,
    events: BTreeMap<(Millis, u64), Event>,
    counter: u64,
    threshold: Option<(u8, Millis)>,
    unjust: u32,
}

/// Plays a load.
pub fn play(site: &Site, load: &Load, rival: Rival) -> Outcome {
    let mut world = World::new(site, load, rival);
    let mut next = 0;
    let mut now = Millis::ZERO;
    while now < SPAN + DRAIN {
        world.change(now, site, load, rival);
        while next < world.requests.len() && world.requests[next].arrived <= now {
            world.arrive(now, next, rival);
            next += 1;
        }
        world.step(now);
        world.handle(now);
        world.rounds(now, site, rival);
        world.poll(now);
        now += STEP;
    }
    world.close();
    Outcome {
        requests: world.requests,
        fates: world.fates,
        unjust: world.unjust,
    }
}

impl World {
    fn new(site: &Site, load: &Load, rival: Rival) -> Self {
        let requests = load.requests(site);
        let len = requests.len();
        let mut world = Self {
            requests,
            fates: vec![Fate::default(); len],
            places: vec![(0, 0); len],
            engines: site.engines.iter().cloned().map(Engine::new).collect(),
            policies: Vec::new(),
            due: Vec::new(),
            routes: Vec::new(),
            events: BTreeMap::new(),
            counter: 0,
            threshold: None,
            unjust: 0,
        };
        for slot in 0..INSTANCES {
            let at = world.join(Millis::ZERO, slot, site, load, rival);
            world.routes.push(at);
        }
        world
    }

    /// Starts an instance and returns its number.
    fn join(&mut self, now: Millis, slot: usize, site: &Site, load: &Load, rival: Rival) -> usize {
        let at = self.policies.len();
        let seed = load.seed * 1000 + at as u64;
        let mut policy = rival.make(seed, u32::try_from(INSTANCES).unwrap_or(u32::MAX));
        let engines = site.engines.iter().enumerate();
        let specs: Vec<_> = engines
            .filter(|(number, _)| !rival.owners() || number % INSTANCES == slot)
            .map(|(_, engine)| engine.endpoint.clone())
            .collect();
        policy.set_endpoints(now, &specs);
        let switched = load.switch.is_some_and(|at| now >= at);
        let preset = if switched { &site.peak } else { &site.ordinary };
        policy.set_preset(now, preset);
        for number in 0..ORGANISATIONS {
            let id = OrganisationId::new(&format!("organisation-{number}"));
            policy.set_organisation(&id, 1, None);
        }
        self.policies.push(policy);
        self.due.push(Millis::ZERO);
        at
    }

    /// Makes the load's changes that are due.
    fn change(&mut self, now: Millis, site: &Site, load: &Load, rival: Rival) {
        for (engine, from, to, factor) in &load.changes {
            if now == *from {
                self.engines[*engine].set_factor(*factor);
            } else if now == *to {
                self.engines[*engine].set_factor(1.0);
            }
        }
        if load.switch == Some(now) {
            for policy in &mut self.policies {
                policy.set_preset(now, &site.peak);
            }
        }
        if load.replace == Some(now) {
            for slot in (0..INSTANCES).step_by(2) {
                self.routes[slot] = self.join(now, slot, site, load, rival);
            }
        }
    }

    fn arrive(&mut self, now: Millis, id: usize, rival: Rival) {
        let request = &self.requests[id];
        let mut slot = request.instance;
        if rival.owners() {
            slot = self.owner(id);
        }
        let at = self.routes[slot];
        self.places[id].0 = at;
        self.policies[at].arrive(now, request.work(id, Vec::new()));
        self.due[at] = now;
    }

    /// Returns the instance that owns an endpoint for the request, the larger ones more often.
    fn owner(&self, id: usize) -> usize {
        let target = &self.requests[id].target;
        let engines = self.engines.iter().enumerate();
        let offering = engines.filter(|(_, engine)| engine.spec().targets.contains(target));
        let tickets: Vec<usize> = offering
            .flat_map(|(at, engine)| vec![at; engine.spec().slots as usize])
            .collect();
        // A fixed odd multiplier spreads consecutive requests over the tickets.
        tickets[id.wrapping_mul(7919) % tickets.len()] % INSTANCES
    }

    fn push(&mut self, at: Millis, event: Event) {
        self.counter += 1;
        self.events.insert((at, self.counter), event);
    }

    fn step(&mut self, now: Millis) {
        let mut progress = Vec::new();
        for at in 0..self.engines.len() {
            self.engines[at].step(STEP, &mut progress);
            let way = self.engines[at].spec().distance;
            for step in progress.drain(..) {
                let event = match step {
                    Progress::First(id) => Event::First {
                        id,
                        run: self.fates[id].runs,
                    },
                    Progress::Done(id, computed) => Event::Done {
                        id,
                        run: self.fates[id].runs,
                        computed,
                    },
                };
                self.push(now + way, event);
            }
        }
    }

    fn handle(&mut self, now: Millis) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > now {
                return;
            }
            match entry.remove() {
                Event::Accept { id, engine } => {
                    self.engines[engine].accept(id, &self.requests[id]);
                }
                Event::First { id, run } => self.first(now, id, run),
                Event::Done { id, run, computed } => self.done(now, id, run, computed),
                Event::Cancel { id, run, finish } => self.cut(now, id, run, finish),
                Event::Report { engine, load } => self.report(now, engine, &load),
            }
        }
    }

    fn first(&mut self, now: Millis, id: usize, run: u32) {
        if self.fates[id].runs != run || self.fates[id].done.is_some() {
            return;
        }
        self.fates[id].first = Some(now);
        let at = self.places[id].0;
        if self.requests[id].stream {
            self.policies[at].first_piece(now, WorkId(id as u64));
            self.due[at] = now;
        }
    }

    fn done(&mut self, now: Millis, id: usize, run: u32, computed: f64) {
        let fate = &mut self.fates[id];
        fate.computed += computed;
        if fate.runs != run {
            fate.thrown += computed;
            return;
        }
        fate.done = Some(now);
        let output = self.requests[id].output;
        let at = self.places[id].0;
        self.policies[at].finished(now, WorkId(id as u64), Finish::Complete { output });
        self.due[at] = now;
    }

    /// Cuts a run off: by order of the policy, or because its endpoint gave no sign.
    fn cut(&mut self, now: Millis, id: usize, run: u32, finish: Finish) {
        let (at, engine) = self.places[id];
        let silent = self.fates[id].first.is_none();
        let over = self.fates[id].done.is_some() || self.fates[id].refused.is_some();
        if self.fates[id].runs != run || over || finish == Finish::Broken && !silent {
            return;
        }
        let Some(computed) = self.engines[engine].cancel(id) else {
            return;
        };
        self.fates[id].computed += computed;
        self.fates[id].thrown += computed;
        self.policies[at].finished(now, WorkId(id as u64), finish);
        self.due[at] = now;
        let begun = self.requests[id].stream && !silent;
        if finish == Finish::Cancelled && !begun {
            let work = self.requests[id].work(id, Vec::new());
            self.fates[id].first = None;
            self.policies[at].arrive(now, work);
            return;
        }
        self.fates[id].refused = Some((now, Code::Cancelled));
    }

    fn report(&mut self, now: Millis, engine: usize, load: &LoadReport) {
        let id = self.engines[engine].spec().id.clone();
        for policy in &mut self.policies {
            policy.report(now, &id, load);
        }
    }

    /// Holds the rounds of reports, leases and thresholds that are due.
    fn rounds(&mut self, now: Millis, site: &Site, rival: Rival) {
        if now.0.is_multiple_of(REPORT_LAG.0) {
            for engine in 0..self.engines.len() {
                let mut load = self.engines[engine].load();
                load.age = REPORT_LAG;
                self.push(now + REPORT_LAG, Event::Report { engine, load });
            }
        }
        if rival.leases() && now.0.is_multiple_of(LEASE_ROUND.0) {
            self.lease(now, site);
        }
        if now.0.is_multiple_of(THRESHOLD_ROUND.0) {
            self.coordinate(now);
        }
    }

    fn lease(&mut self, now: Millis, site: &Site) {
        let engines = site.engines.iter().map(|engine| &engine.endpoint);
        let units = engines
            .map(|spec| (Resource::Endpoint(spec.id.clone()), spec.slots))
            .collect();
        let reports: Vec<_> = self
            .policies
            .iter()
            .map(|policy| policy.demand(now))
            .collect();
        for (at, grants) in allocate(&units, &reports).into_iter().enumerate() {
            for (resource, units) in grants {
                self.policies[at].grant(now, &resource, units, now + LEASE_SPAN);
            }
            self.due[at] = now;
        }
    }

    /// Raises and lifts the admission threshold over all instances, as they would in a round.
    fn coordinate(&mut self, now: Millis) {
        let pressed = self
            .policies
            .iter()
            .filter_map(|policy| policy.pressure(now));
        let pressed = pressed.min();
        if let Some(rank) = pressed {
            self.threshold = Some((rank, now + THRESHOLD_SPAN));
        }
        let Some((rank, until)) = self.threshold else {
            return;
        };
        let raised = now < until;
        if !raised {
            self.threshold = None;
        }
        for at in 0..self.policies.len() {
            let from = raised.then_some(rank + 1);
            self.policies[at].set_threshold(now, from);
            self.due[at] = now;
        }
        let serving: u32 = self
            .policies
            .iter()
            .map(|policy| policy.serving(rank + 1))
            .sum();
        if raised && serving == 0 {
            for policy in &mut self.policies {
                policy.allow_shedding(now, rank, until.min(now + THRESHOLD_ROUND));
            }
        }
    }

    fn poll(&mut self, now: Millis) {
        let mut decisions = Vec::new();
        for at in 0..self.policies.len() {
            if self.due[at] > now {
                continue;
            }
            self.due[at] = self.policies[at].poll(now, &mut decisions);
            for decision in decisions.drain(..) {
                self.obey(now, at, decision);
            }
        }
    }

    fn obey(&mut self, now: Millis, at: usize, decision: Decision) {
        match decision {
            Decision::Start { id, endpoint } => self.start(now, index(id), &endpoint),
            Decision::Refuse { id, code, .. } => {
                let id = index(id);
                self.fates[id].refused = Some((now, code));
                if self.requests[id].protected && self.lower_served(self.requests[id].rank) {
                    self.unjust += 1;
                }
            }
            Decision::Cancel { id } => {
                let id = index(id);
                let way = self.engines[self.places[id].1].spec().distance;
                let run = self.fates[id].runs;
                let finish = Finish::Cancelled;
                self.push(now + way, Event::Cancel { id, run, finish });
                self.due[at] = now;
            }
        }
    }

    fn start(&mut self, now: Millis, id: usize, endpoint: &EndpointId) {
        let engines = self.engines.iter();
        let found = engines
            .enumerate()
            .find(|(_, engine)| engine.spec().id == *endpoint);
        let Some((engine, spec)) = found.map(|(at, engine)| (at, engine.spec())) else {
            return;
        };
        let way = spec.distance;
        self.places[id].1 = engine;
        let fate = &mut self.fates[id];
        fate.runs += 1;
        fate.started.get_or_insert(now);
        let run = fate.runs;
        self.push(now + way, Event::Accept { id, engine });
        let give_up = self.requests[id].deadline().max(now) + GIVE_UP;
        let finish = Finish::Broken;
        self.push(give_up, Event::Cancel { id, run, finish });
    }

    /// Tells whether work of a later rank is on any endpoint.
    fn lower_served(&self, rank: u8) -> bool {
        self.policies
            .iter()
            .any(|policy| policy.serving(rank + 1) > 0)
    }

    /// Counts what is still on endpoints as thrown away.
    fn close(&mut self) {
        for id in 0..self.requests.len() {
            let engine = self.places[id].1;
            if let Some(computed) = self.engines[engine].cancel(id) {
                self.fates[id].computed += computed;
            }
        }
    }
}

fn index(id: WorkId) -> usize {
    usize::try_from(id.0).unwrap_or(usize::MAX)
}
