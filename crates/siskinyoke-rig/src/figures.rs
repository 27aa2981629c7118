//! What a run is judged by.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::bound::reachable;
use crate::convert;
use crate::load::Load;
use crate::request::Fate;
use crate::request::Request;
use crate::rival::Rival;
use crate::run::Outcome;
use crate::site::Site;
use siskinyoke_base::CallClass;
use siskinyoke_base::Millis;
use siskinyoke_base::ModelId;

/// Time over which shares are compared.
const FAIR_SPAN: Millis = Millis::from_secs(5);

/// The figures of one run.
#[derive(Debug, Clone, Serialize)]
pub struct Figures {
    /// The deployment.
    pub site: &'static str,
    /// The load.
    pub load: &'static str,
    /// Whether the load was kept apart while thresholds were chosen.
    pub held: bool,
    /// The policy.
    pub policy: &'static str,
    /// Tiers of the model's work.
    pub tiers: Vec<TierFigures>,
    /// Useful calls of the plain service, as a part of all.
    pub service: f64,
    /// Prompt tokens computed for answers that were late, cut off or never came, as a part of all.
    pub wasted: f64,
    /// The least that an organisation got of its fair share.
    pub least: f64,
    /// Work that may not be repeated and was dispatched twice.
    pub doubled: usize,
    /// Protected requests refused while lower work was served.
    pub unjust: u32,
}

/// The figures of one tier.
#[derive(Debug, Clone, Serialize)]
pub struct TierFigures {
    /// Requests.
    pub requests: usize,
    /// The part that could be answered in time.
    pub reachable: f64,
    /// Goodput as a part of what could be reached.
    pub goodput: f64,
    /// Refusals as a part of all requests.
    pub refused: f64,
    /// Median and 95th percentile of the time to a refusal, as a part of the need.
    pub refusal: [f64; 2],
    /// 50th, 95th and 99th percentile of the time to the first token, in milliseconds.
    pub first: [u64; 3],
}

impl Figures {
    /// Judges a run.
    pub fn of(site: &Site, load: &Load, rival: Rival, outcome: &Outcome) -> Self {
        let model = ModelId::new("model");
        let reach = reachable(site, load, &outcome.requests, &model);
        let all: Vec<(&Request, &Fate)> = outcome.requests.iter().zip(&outcome.fates).collect();
        let of_model = |pair: &&(&Request, &Fate)| pair.0.target == model;
        let tiers = reach.iter().zip(0..).map(|(reach, rank)| {
            let fits = |pair: &&(&Request, &Fate)| of_model(pair) && pair.0.rank == rank;
            let pairs: Vec<_> = all.iter().filter(fits).copied().collect();
            TierFigures::of(*reach, &pairs)
        });
        let services: Vec<_> = all.iter().filter(|pair| !of_model(pair)).copied().collect();
        Self {
            site: site.name,
            load: load.name,
            held: load.held,
            policy: rival.name(),
            tiers: tiers.collect(),
            service: part(&services, |(request, fate)| fate.useful(request)),
            wasted: wasted(&all),
            least: least(&all, &model),
            doubled: all.iter().filter(|pair| doubled(pair)).count(),
            unjust: outcome.unjust,
        }
    }
}

impl Figures {
    /// Returns the averages of runs that differ in their seeds alone; breaches are summed.
    pub fn mean(runs: &[Self]) -> Option<Self> {
        let first = runs.first()?;
        let mean = |value: &dyn Fn(&Self) -> f64| {
            runs.iter().map(value).sum::<f64>() / convert::number(runs.len())
        };
        let tiers = (0..first.tiers.len()).map(|rank| {
            let of_rank: Vec<&TierFigures> = runs.iter().map(|run| &run.tiers[rank]).collect();
            TierFigures::mean(&of_rank)
        });
        Some(Self {
            tiers: tiers.collect(),
            service: mean(&|run| run.service),
            wasted: mean(&|run| run.wasted),
            least: runs.iter().map(|run| run.least).fold(1.0, f64::min),
            doubled: runs.iter().map(|run| run.doubled).sum(),
            unjust: runs.iter().map(|run| run.unjust).sum(),
            ..first.clone()
        })
    }
}

impl TierFigures {
    fn mean(runs: &[&Self]) -> Self {
        let mean = |value: &dyn Fn(&Self) -> f64| {
            runs.iter().map(|run| value(run)).sum::<f64>() / convert::number(runs.len())
        };
        let milliseconds = |at: usize| {
            let sum: u64 = runs.iter().map(|run| run.first[at]).sum();
            sum / runs.len() as u64
        };
        Self {
            requests: runs.iter().map(|run| run.requests).sum(),
            reachable: mean(&|run| run.reachable),
            goodput: mean(&|run| run.goodput),
            refused: mean(&|run| run.refused),
            refusal: [mean(&|run| run.refusal[0]), mean(&|run| run.refusal[1])],
            first: [milliseconds(0), milliseconds(1), milliseconds(2)],
        }
    }

    fn of(reachable: f64, pairs: &[(&Request, &Fate)]) -> Self {
        let useful = part(pairs, |(request, fate)| fate.useful(request));
        let refusals = pairs.iter().filter_map(|(request, fate)| {
            let (at, _) = fate.refused?;
            Some(at.since(request.arrived).as_secs() / request.need.as_secs())
        });
        let mut refusals: Vec<f64> = refusals.collect();
        refusals.sort_by(f64::total_cmp);
        let firsts = pairs.iter().filter_map(|(request, fate)| {
            let first = fate.first.filter(|_| fate.done.is_some())?;
            Some(first.since(request.arrived))
        });
        let mut firsts: Vec<Millis> = firsts.collect();
        firsts.sort();
        Self {
            requests: pairs.len(),
            reachable,
            goodput: useful / reachable.max(0.01),
            refused: part(pairs, |(_, fate)| fate.refused.is_some()),
            refusal: [0.5, 0.95].map(|at| percentile(&refusals, at).unwrap_or(0.0)),
            first: [0.5, 0.95, 0.99].map(|at| percentile(&firsts, at).map_or(0, |span| span.0)),
        }
    }
}

fn part(pairs: &[(&Request, &Fate)], fits: impl Fn(&(&Request, &Fate)) -> bool) -> f64 {
    let found = pairs.iter().filter(|pair| fits(pair)).count();
    convert::number(found) / convert::number(pairs.len().max(1))
}

fn percentile<T: Copy>(sorted: &[T], at: f64) -> Option<T> {
    let last = sorted.len().checked_sub(1)?;
    Some(sorted[convert::index(convert::number(last) * at)])
}

fn wasted(all: &[(&Request, &Fate)]) -> f64 {
    let computed: f64 = all.iter().map(|(_, fate)| fate.computed).sum();
    let lost = all.iter().map(|(request, fate)| {
        if fate.useful(request) {
            fate.thrown
        } else {
            fate.computed
        }
    });
    lost.sum::<f64>() / computed.max(1.0)
}

fn doubled(pair: &(&Request, &Fate)) -> bool {
    pair.0.class != CallClass::Idempotent && pair.1.runs > 1
}

/// Returns the least part of a fair share that an organisation got.
///
/// For each tier and each five seconds of arrivals, the tokens of useful answers are divided by
/// max-min fairness over what each organisation asked for; its fair share is the sum of these.
/// Tiers come first, so an organisation whose work is mostly deferrable has no claim on another's
/// marking; and while a burst lets nobody's work in, nobody's share grows.
fn least(all: &[(&Request, &Fate)], model: &ModelId) -> f64 {
    let mut groups: BTreeMap<(u8, u64), BTreeMap<&str, Share>> = BTreeMap::new();
    for (request, fate) in all {
        if request.target != *model {
            continue;
        }
        let tokens = f64::from(request.prompt) + f64::from(request.output);
        let key = (request.rank, request.arrived.0 / FAIR_SPAN.0);
        let group = groups.entry(key).or_default();
        let share = group.entry(request.organisation.as_str()).or_default();
        share.fair += tokens;
        share.got += if fate.useful(request) { tokens } else { 0.0 };
    }
    let mut shares: BTreeMap<&str, Share> = BTreeMap::new();
    for group in groups.into_values() {
        let total: f64 = group.values().map(|share| share.got).sum();
        let level = water_level(group.values().map(|share| share.fair).collect(), total);
        for (organisation, share) in group {
            let sum = shares.entry(organisation).or_default();
            sum.fair += share.fair.min(level);
            sum.got += share.got;
        }
    }
    let parts = shares.values().map(|share| share.got / share.fair.max(1.0));
    parts.fold(1.0, f64::min)
}

/// Tokens that an organisation got, and what was or would be its part.
#[derive(Debug, Default)]
struct Share {
    fair: f64,
    got: f64,
}

/// Returns the level up to which each demand is met when `total` is divided by max-min fairness.
fn water_level(mut demands: Vec<f64>, total: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut left = total;
    for (met, demand) in demands.iter().enumerate() {
        let others = convert::number(demands.len() - met);
        if demand * others > left {
            return left / others;
        }
        left -= demand;
    }
    f64::INFINITY
}
