//! The core of a daemon: every request's way from its caller to an endpoint and back.

mod accounting;
mod administration;
mod ask;
mod burning;
mod calls;
mod controllers;
mod dispatching;
mod ending;
mod event;
mod filters;
mod forwarding;
mod forwards;
mod heard;
mod job;
mod leaving;
mod locating;
mod ordering;
mod poison;
mod refusals;
mod roster;
mod settings;
mod sharing;

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::RngCore;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::administration::Bill;
use self::ask::Ask;
use self::forwards::Forwards;
use self::heard::Heard;
use self::job::Job;
use self::job::Listener;
use self::leaving::Leaving;
use self::refusals::Refusals;
use crate::Action;
use crate::CallId;
use crate::DispatchId;
use crate::OpId;
use crate::Outbox;
use crate::Sender;
use crate::burn::Burn;
use crate::burn::Slot;
use crate::claims::Claims;
use crate::configuration::ConfigurationController;
use crate::configuration::ConfigurationDoc;
use crate::configuration::EndpointDoc;
use crate::configuration::View;
use crate::leases::Leases;
use crate::ledger::Ledger;
use crate::members::Members;
use crate::orders::Orders;
use crate::platform::ListedInstance;
use crate::threshold::Threshold;
use crate::usage::Day;
use crate::usage::Usage;
use siskinyoke_base::DataCentre;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Identity;
use siskinyoke_base::Millis;
use siskinyoke_base::message::Envelope;
use siskinyoke_base::message::MemberRecord;
use siskinyoke_base::message::MemberState;
use siskinyoke_base::message::Message;
use siskinyoke_policy::Decision;
use siskinyoke_policy::EndpointSpec;
use siskinyoke_policy::PresetSpec;
use siskinyoke_policy::Scheduler;
use siskinyoke_policy::TierWeights;
use siskinyoke_policy::WorkId;
use siskinyoke_policy::quarantine::Quarantine;

pub use self::ending::Past;
pub use self::ending::honest;
pub use self::event::AdminHead;
pub use self::event::DispatchNews;
pub use self::event::Event;
pub use self::filters::Filter;
pub use self::roster::Roster;
pub use self::settings::CoreSettings;

/// One daemon's core: events go in, actions come out, nothing else happens.
///
/// The same events at the same times with the same seed give the same actions.
#[derive(Debug)]
pub struct Core {
    me: Sender,
    centre: DataCentre,
    address: String,
    settings: CoreSettings,
    secret: [u8; 32],
    rng: ChaCha8Rng,
    out: Outbox,
    view: Arc<View>,
    configuration: ConfigurationController,
    scheduler: Box<dyn Scheduler>,
    members: Members,
    ledger: Ledger,
    claims: Claims,
    threshold: Threshold,
    forwards: Forwards,
    heard: Heard,
    refusals: Refusals,
    jobs: BTreeMap<WorkId, Job>,
    runs: BTreeMap<DispatchId, WorkId>,
    calls: BTreeMap<Listener, Place>,
    claiming: BTreeMap<Identity, Vec<Ask>>,
    last: u64,
    leaving: Option<Leaving>,
    due: Millis,
    started: bool,
    sweeper: bool,
    asked: BTreeMap<CallId, String>,
    bills: Vec<Bill>,
    orders: BTreeMap<String, Orders>,
    leases: Leases,
    burn: Burn,
    burns: BTreeMap<OpId, CallId>,
    usage: Usage,
    day: Day,
    quarantine: Quarantine,
    probing: BTreeMap<EndpointId, Millis>,
    parked: BTreeMap<WorkId, (EndpointId, Millis)>,
}

/// Where a caller's request is.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Place {
    /// It waits or runs here.
    Job(WorkId),
    /// It was sent on to its owner.
    Forward(u64),
    /// It waits for its claim.
    Claim(Identity),
}

/// What a core is made with.
#[derive(Debug)]
pub struct CoreParts {
    /// This daemon start, as its peers are to know it.
    pub own: MemberRecord,
    /// Bounds.
    pub settings: CoreSettings,
    /// The policy.
    pub scheduler: Box<dyn Scheduler>,
    /// Instances that the settings name.
    pub seeds: Vec<ListedInstance>,
    /// Seed of the random source.
    pub seed: u64,
}

impl Core {
    /// Makes a core that knows no configuration yet.
    pub fn new(parts: CoreParts) -> Self {
        let me = Sender::from(&parts.own);
        let usage = Usage::new(me.instance.clone(), me.incarnation, Day::default());
        let quarantine = Quarantine::new(me.instance.clone());
        let mut rng = ChaCha8Rng::seed_from_u64(parts.seed);
        let mut secret = [0; 32];
        rng.fill_bytes(&mut secret);
        Self {
            claims: Claims::new(me.clone()),
            burn: Burn::new(me.clone(), Slot::default()),
            leases: Leases::new(me.clone()),
            me,
            centre: parts.own.centre.clone(),
            address: parts.own.caller.clone(),
            ledger: Ledger::new(parts.settings.ledger),
            settings: parts.settings,
            secret,
            rng,
            out: Outbox::default(),
            view: Arc::new(View::default()),
            configuration: ConfigurationController::default(),
            scheduler: parts.scheduler,
            members: Members::new(parts.own, parts.seeds),
            threshold: Threshold::default(),
            forwards: Forwards::default(),
            heard: Heard::default(),
            refusals: Refusals::default(),
            jobs: BTreeMap::new(),
            runs: BTreeMap::new(),
            calls: BTreeMap::new(),
            claiming: BTreeMap::new(),
            last: 0,
            leaving: None,
            due: Millis::ZERO,
            started: false,
            sweeper: false,
            asked: BTreeMap::new(),
            bills: Vec::new(),
            orders: BTreeMap::new(),
            burns: BTreeMap::new(),
            usage,
            day: Day::default(),
            quarantine,
            probing: BTreeMap::new(),
            parked: BTreeMap::new(),
        }
    }

    /// Takes an event and returns what is to be done about it.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Arrive { call, head } => self.arrive(now, call, *head),
            Event::Locate { call, bearer } => self.locate(now, call, &bearer),
            Event::Gone { call } => self.gone(now, &Listener::Call(call)),
            Event::Dispatch { dispatch, news } => self.dispatch_news(now, dispatch, news),
            Event::Peer(envelope) => self.peer(now, *envelope),
            Event::Platform { op, reply } => self.platform(now, op, &reply),
            Event::Admin { call, head } => self.administer(now, call, &head),
            Event::Ordered {
                endpoint,
                id,
                result,
            } => self.ordered(now, &endpoint, id, &result),
            Event::Probed { endpoint, reached } => self.probed(now, &endpoint, reached),
            Event::Load { endpoint, report } => self.scheduler.report(now, &endpoint, &report),
            Event::Leave => self.leave(now),
            Event::Stranger => self.members.refused(),
            Event::Tick => {}
        }
        self.control(now);
        self.settle(now);
        self.tell_suspects(now);
        self.out.take()
    }

    /// Returns when a [`Event::Tick`] is due at the latest.
    pub fn next(&self, now: Millis) -> Millis {
        self.threshold.next(now).min(self.due).min(now + TICK)
    }

    /// Puts a revision of the configuration in force for requests that arrive from now on.
    ///
    /// An older revision than the one in force is passed over: an accepted configuration never
    /// reverts, whatever a lagging source shows.
    pub fn set_view(&mut self, now: Millis, view: Arc<View>) {
        if view.revision <= self.view.revision {
            return;
        }
        self.scheduler
            .set_endpoints(now, &self.endpoint_specs(&view.doc));
        for (id, doc) in &view.doc.organisations {
            self.scheduler
                .set_organisation(id, doc.weight, doc.allowance);
        }
        if let Some(preset) = preset_spec(&view.doc) {
            self.scheduler.set_preset(now, &preset);
        }
        self.view = view;
        self.plan_orders();
        self.burn_target();
    }

    /// Returns the configuration in force.
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Returns this daemon start.
    pub fn me(&self) -> &Sender {
        &self.me
    }

    /// Counts requests accepted and not yet ended.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Counts requests on endpoints of `rank` or a later one.
    pub fn serving(&self, rank: u8) -> u32 {
        self.scheduler.serving(rank)
    }

    /// Returns the members as seen here.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the ledger of keyed requests.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the rank from which work is barred here.
    pub fn barred(&self) -> Option<u8> {
        self.threshold.rank()
    }

    /// Wraps a message for a peer.
    pub fn envelope(&self, message: Message) -> Envelope {
        Envelope {
            from: self.me.instance.clone(),
            incarnation: self.me.incarnation,
            revision: self.configuration.revision(),
            message,
        }
    }

    /// Does what follows from any event: takes the policy's decisions until none is left.
    fn settle(&mut self, now: Millis) {
        self.ledger.expire(now);
        self.refusals.expire(now);
        self.forward_losses(now);
        for _ in 0..SETTLE_ROUNDS {
            self.look_at_threshold(now);
            let mut decisions = Vec::new();
            self.due = self.scheduler.poll(now, &mut decisions);
            if decisions.is_empty() {
                break;
            }
            for decision in decisions {
                self.decide(now, decision);
            }
        }
        self.maybe_exit(now);
    }

    /// Looks at the threshold; in ordinary times there is neither pressure nor a threshold.
    fn look_at_threshold(&mut self, now: Millis) {
        if self.threshold.is_idle() && self.scheduler.pressure(now).is_none() {
            return;
        }
        let peers = self.serving_peers(now);
        self.threshold
            .tick(now, self.scheduler.as_mut(), &peers, &mut self.out);
    }

    /// Returns the peers that may be serving: live ones, suspected ones, which are mostly slow
    /// rather than dead, and all that spoke lately.
    fn serving_peers(&self, now: Millis) -> Vec<Sender> {
        let held = self.members.peers();
        let held = held.filter(|record| record.state < MemberState::Gone);
        let mut peers: Vec<_> = held.map(Sender::from).collect();
        for heard in self.heard.recent(now) {
            if peers.iter().all(|peer| peer.instance != heard.instance) {
                peers.push(heard);
            }
        }
        peers
    }

    fn decide(&mut self, now: Millis, decision: Decision) {
        match decision {
            Decision::Start { id, endpoint } => self.start_run(now, id, &endpoint),
            Decision::Refuse { id, code, after } => {
                let end = siskinyoke_base::message::End::new(code).after(after);
                self.end(now, id, end);
            }
            Decision::Cancel { id } => self.cancel_run(now, id),
        }
    }

    fn endpoint_specs(&self, doc: &ConfigurationDoc) -> Vec<EndpointSpec> {
        let usable = doc
            .endpoints
            .iter()
            .filter(|(_, endpoint)| !endpoint.leaving);
        usable
            .map(|(id, endpoint)| self.endpoint_spec(id, endpoint))
            .collect()
    }

    fn endpoint_spec(&self, id: &EndpointId, doc: &EndpointDoc) -> EndpointSpec {
        let near = doc.centre == self.centre;
        EndpointSpec {
            id: id.clone(),
            centre: doc.centre.clone(),
            distance: if near { Millis::ZERO } else { CENTRE_DISTANCE },
            targets: doc.targets.clone(),
            slots: doc.slots,
            speed: doc.speed,
            prefill: doc.prefill,
        }
    }

    /// Draws the next number for jobs, dispatches and the like.
    fn number(&mut self) -> u64 {
        self.last += 1;
        self.last
    }
}

/// How often the core looks at its timers where nothing earlier is due.
const TICK: Millis = Millis(100);

/// The most rounds of decisions after one event; each round places, refuses or cancels work,
/// so a policy that never comes to rest would otherwise hold the daemon.
const SETTLE_ROUNDS: usize = 64;

/// One-way delay to another data centre, before anything is measured.
const CENTRE_DISTANCE: Millis = Millis(1);

fn preset_spec(doc: &ConfigurationDoc) -> Option<PresetSpec> {
    let preset = doc.presets.get(&doc.preset)?;
    let weights = |name| {
        preset.tiers.get(name).map_or(
            TierWeights {
                reserve: 0.0,
                open: true,
            },
            |tier| TierWeights {
                reserve: tier.reserve,
                open: tier.open,
            },
        )
    };
    Some(PresetSpec {
        name: doc.preset.clone(),
        tiers: doc.tiers.iter().map(|tier| weights(&tier.name)).collect(),
        prefill_weight: preset.prefill,
        shift: preset.shift,
        queue: preset.queue,
    })
}

impl From<CallId> for Listener {
    fn from(call: CallId) -> Self {
        Self::Call(call)
    }
}
