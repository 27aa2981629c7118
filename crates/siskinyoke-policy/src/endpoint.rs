//! One endpoint as this daemon knows it.

use std::collections::BTreeMap;

use crate::EndpointSpec;
use crate::LoadReport;
use crate::Work;
use crate::flight::Flight;
use crate::health::Health;
use crate::share::Share;
use crate::speed::Speed;
use crate::units;
use siskinyoke_base::Millis;
use siskinyoke_base::ModelId;

/// Seconds that even an empty prompt takes to its first piece.
const LEAST: f64 = 0.02;

/// How much the limit shrinks on a report of work waiting inside the endpoint, where no tier is
/// known, and grows on one without: it halves within seven reports and recovers within fifteen.
const SHRINK: f64 = 0.9;
const GROW: f64 = 0.05;

/// The least part of the configured slots that reports may leave: they lag, and a limit led by
/// them alone would close an endpoint on old news.
const LEAST_SCALE: f64 = 0.5;

/// What is known of an endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    /// As configured.
    pub(crate) spec: EndpointSpec,
    /// Whether it may be used.
    pub(crate) health: Health,
    /// This daemon's share of its slots.
    pub(crate) share: Share,
    /// Whether it is still configured; if not, it only finishes what it has.
    pub(crate) listed: bool,
    speeds: BTreeMap<ModelId, Speed>,
    scale: f64,
}

/// Expected times of work on an endpoint, in seconds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Expected {
    /// To the first piece at the configured speed.
    pub(crate) plan: f64,
    /// To the first piece.
    pub(crate) first: f64,
    /// To the end.
    pub(crate) whole: f64,
}

impl Expected {
    /// Returns the seconds to a useful answer.
    pub(crate) fn useful(&self, work: &Work) -> f64 {
        if work.stream { self.first } else { self.whole }
    }
}

impl Endpoint {
    /// Starts with nothing learned.
    pub(crate) fn new(now: Millis, spec: EndpointSpec) -> Self {
        Self {
            spec,
            health: Health::new(now),
            share: Share::default(),
            listed: true,
            speeds: BTreeMap::new(),
            scale: 1.0,
        }
    }

    /// Tells whether it offers a target.
    pub(crate) fn offers(&self, target: &ModelId) -> bool {
        self.listed && self.spec.targets.contains(target)
    }

    /// Returns how many requests this daemon may have on it, apart from its health.
    pub(crate) fn limit(&self, now: Millis, instances: u32) -> u32 {
        let share = self.share.limit(now, self.spec.slots, instances);
        if share == 0 {
            return 0;
        }
        units::floor((f64::from(share) * self.scale).round()).max(1)
    }

    /// Returns how many requests this daemon may have on it.
    pub(crate) fn room(&self, now: Millis, instances: u32) -> u32 {
        self.health.room(now, self.limit(now, instances))
    }

    /// Estimates the times of work that computes `prompt` tokens and answers with `output`.
    pub(crate) fn expect(
        &self,
        now: Millis,
        target: &ModelId,
        prompt: f64,
        output: f64,
    ) -> Expected {
        let speed = self.speeds.get(target);
        let rest_ratio = speed.map_or(1.0, |speed| speed.rest(now));
        let way = 2.0 * self.spec.distance.as_secs();
        let plan = LEAST + prompt / f64::from(self.spec.prefill.max(1));
        let first = way + speed.map_or(plan, |speed| speed.first(now, plan));
        let whole = first + self.rest(output) * rest_ratio;
        Expected { plan, first, whole }
    }

    /// Learns from the time to a first piece.
    pub(crate) fn learn_first(&mut self, now: Millis, target: &ModelId, plan: f64, took: Millis) {
        let way = 2.0 * self.spec.distance.as_secs();
        let took = (took.as_secs() - way).max(0.0);
        self.speed(now, target).learn_first(now, plan, took);
    }

    /// Learns from a whole answer of `output` tokens.
    pub(crate) fn learn(&mut self, now: Millis, flight: &Flight, output: u32) {
        let target = &flight.work.target;
        let Some(first) = flight.first.filter(|_| flight.work.stream) else {
            let took = now.since(flight.started);
            self.learn_whole(now, target, flight.plan, output, took);
            return;
        };
        self.learn_rest(now, target, output, now.since(first));
    }

    /// Learns from the time between the first piece and the end of `output` tokens.
    fn learn_rest(&mut self, now: Millis, target: &ModelId, output: u32, took: Millis) {
        let ratio = took.as_secs() / self.rest(f64::from(output.max(1)));
        self.speed(now, target).learn_rest(now, ratio);
    }

    /// Learns from the whole time of an answer that came in one piece.
    fn learn_whole(&mut self, now: Millis, target: &ModelId, plan: f64, output: u32, took: Millis) {
        let way = 2.0 * self.spec.distance.as_secs();
        let ratio = (took.as_secs() - way).max(0.0) / (plan + self.rest(f64::from(output)));
        let speed = self.speed(now, target);
        speed.learn_first(now, plan, plan * ratio);
        speed.learn_rest(now, ratio);
    }

    /// Learns a load report: a hint that lowers the limit, and never a reason to send more.
    pub(crate) fn hint(&mut self, load: &LoadReport) {
        self.scale = if load.waiting > 0 {
            (self.scale * SHRINK).max(LEAST_SCALE)
        } else {
            (self.scale + GROW).min(1.0)
        };
    }

    fn rest(&self, output: f64) -> f64 {
        output / f64::from(self.spec.speed.max(1))
    }

    fn speed(&mut self, now: Millis, target: &ModelId) -> &mut Speed {
        self.speeds
            .entry(target.clone())
            .or_insert_with(|| Speed::new(now))
    }
}
