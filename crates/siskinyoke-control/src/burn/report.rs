//! The service-level burn over all daemons.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Serialize;

use super::LONG;
use super::SHORT;
use super::Slot;
use super::Snapshot;
use super::Tally;
use super::Target;
use super::snapshot::Row;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Incarnation;
use siskinyoke_base::InstanceId;
use siskinyoke_base::OrganisationId;
use siskinyoke_base::TierName;

/// A burn rate at which a budget meant for 30 days is used up in two days.
const FAST: f64 = 14.4;

/// A burn rate at which the objective is just missed.
const SLOW: f64 = 1.0;

/// The objective of a tier of which the preset says nothing.
const USUAL_OBJECTIVE: f64 = 0.95;

/// Burn over all daemons.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// The end of the windows.
    pub slot: Slot,
    /// The preset in force.
    pub preset: String,
    /// By tier and organisation, what burns fastest first.
    pub lines: Vec<BurnLine>,
    /// By tier and slot, for plots.
    pub series: Vec<Point>,
    /// Daemons that were asked.
    pub reached: BTreeSet<InstanceId>,
    /// Daemons counted from what they left in the platform's service, up to five minutes old.
    pub kept: BTreeSet<InstanceId>,
    /// Daemons that could not be reached; their last minutes are not in the counts.
    pub unreached: BTreeSet<InstanceId>,
    /// Whether the copies of daemons that are gone could be read.
    pub complete: bool,
}

/// Burn of one organisation in one tier.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BurnLine {
    /// The tier.
    pub tier: TierName,
    /// The organisation.
    pub organisation: OrganisationId,
    /// Share to be answered within need, in parts of 1.
    pub objective: f64,
    /// How urgent it is.
    pub state: BurnState,
    /// The short window.
    pub short: Window,
    /// The long window.
    pub long: Window,
    /// What went wrong by endpoint in the long window.
    pub endpoints: BTreeMap<EndpointId, Tally>,
    /// What went wrong by instance in the long window.
    pub instances: BTreeMap<InstanceId, Tally>,
}

/// Counts of a window and how fast they burn.
#[derive(Debug, Default, Clone, PartialEq, Serialize)]
pub struct Window {
    /// The counts.
    pub tally: Tally,
    /// Share within need, in parts of 1; nothing without requests.
    pub share: Option<f64>,
    /// How many times faster than allowed the error budget is used.
    pub burn: f64,
}

/// How urgent a burn is: both windows must agree, so that neither a moment nor what is long over
/// raises an alarm.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum BurnState {
    /// Act now.
    Fast,
    /// The objective is being missed.
    Slow,
    /// It was missed in the long window, and is met again.
    Over,
    /// It is met.
    Met,
}

/// Counts of a tier in one slot.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Point {
    /// The slot.
    pub slot: Slot,
    /// The tier.
    pub tier: TierName,
    /// Its objective.
    pub objective: f64,
    /// The counts.
    pub tally: Tally,
}

impl Report {
    /// Adds up the snapshots of daemons that were asked and those kept of others.
    ///
    /// A daemon start that is in both is counted from its own answer alone.
    pub fn new(asked: &[Snapshot], kept: &[Snapshot], unreached: &[InstanceId]) -> Self {
        let starts = choose(asked, kept);
        let newest = starts
            .iter()
            .max_by_key(|snapshot| snapshot.target.revision);
        let target = newest
            .map(|newest| newest.target.clone())
            .unwrap_or_default();
        let slot = starts
            .iter()
            .map(|start| start.slot)
            .max()
            .unwrap_or_default();
        let live: BTreeSet<_> = asked.iter().map(|start| start.incarnation).collect();
        let name = |own: bool| {
            let side = starts
                .iter()
                .filter(|s| live.contains(&s.incarnation) == own);
            side.map(|start| start.instance.clone())
                .collect::<BTreeSet<_>>()
        };
        let (reached, kept) = (name(true), name(false));
        Self {
            slot,
            lines: lines(&starts, slot, &target),
            series: series(&starts, slot, &target),
            preset: target.preset,
            unreached: unreached.iter().cloned().collect(),
            reached,
            kept,
            complete: true,
        }
    }
}

impl Window {
    fn new(tally: Tally, objective: f64) -> Self {
        Self {
            tally,
            share: tally.share(),
            burn: tally.burn(objective),
        }
    }
}

impl BurnState {
    fn of(short: &Window, long: &Window) -> Self {
        let both = short.burn.min(long.burn);
        if both >= FAST {
            return Self::Fast;
        }
        if both > SLOW {
            return Self::Slow;
        }
        if long.burn > SLOW {
            Self::Over
        } else {
            Self::Met
        }
    }
}

fn choose<'a>(asked: &'a [Snapshot], kept: &'a [Snapshot]) -> Vec<&'a Snapshot> {
    let mut starts: BTreeMap<Incarnation, &Snapshot> = BTreeMap::new();
    for snapshot in kept.iter().chain(asked) {
        starts.insert(snapshot.incarnation, snapshot);
    }
    starts.into_values().collect()
}

fn lines(starts: &[&Snapshot], now: Slot, target: &Target) -> Vec<BurnLine> {
    let mut sums: BTreeMap<(&TierName, &OrganisationId), Sum> = BTreeMap::new();
    for start in starts {
        for row in start.rows.iter().filter(|row| row.slot.within(now, LONG)) {
            let sum = sums.entry((&row.tier, &row.organisation)).or_default();
            sum.add(row, &start.instance, now);
        }
    }
    let line = |((tier, organisation), sum): ((&TierName, &OrganisationId), Sum)| {
        let objective = objective(target, tier);
        let short = Window::new(sum.short, objective);
        let long = Window::new(sum.long, objective);
        BurnLine {
            tier: tier.clone(),
            organisation: organisation.clone(),
            objective,
            state: BurnState::of(&short, &long),
            short,
            long,
            endpoints: sum.endpoints,
            instances: sum.instances,
        }
    };
    let mut lines: Vec<BurnLine> = sums.into_iter().map(line).collect();
    lines.sort_by(|a, b| {
        let burn = b.long.burn.total_cmp(&a.long.burn);
        a.state.cmp(&b.state).then(burn)
    });
    lines
}

#[derive(Default)]
struct Sum {
    short: Tally,
    long: Tally,
    endpoints: BTreeMap<EndpointId, Tally>,
    instances: BTreeMap<InstanceId, Tally>,
}

impl Sum {
    fn add(&mut self, row: &Row, instance: &InstanceId, now: Slot) {
        self.long += row.tally;
        if row.slot.within(now, SHORT) {
            self.short += row.tally;
        }
        if row.tally.bad() + row.tally.wasted == 0 {
            return;
        }
        let wrong = Tally {
            within: 0,
            ..row.tally
        };
        *self.instances.entry(instance.clone()).or_default() += wrong;
        if let Some(endpoint) = &row.endpoint {
            *self.endpoints.entry(endpoint.clone()).or_default() += wrong;
        }
    }
}

fn series(starts: &[&Snapshot], now: Slot, target: &Target) -> Vec<Point> {
    let mut sums: BTreeMap<(&TierName, Slot), Tally> = BTreeMap::new();
    let rows = starts.iter().flat_map(|start| &start.rows);
    for row in rows.filter(|row| row.slot.within(now, LONG)) {
        *sums.entry((&row.tier, row.slot)).or_default() += row.tally;
    }
    let point = |((tier, slot), tally): ((&TierName, Slot), Tally)| Point {
        slot,
        tier: tier.clone(),
        objective: objective(target, tier),
        tally,
    };
    sums.into_iter().map(point).collect()
}

fn objective(target: &Target, tier: &TierName) -> f64 {
    let named = target.objectives.get(tier).copied();
    named.unwrap_or(USUAL_OBJECTIVE)
}
