//! What each organisation may use, over all instances together.

use std::collections::VecDeque;
use std::sync::Arc;

use siskinyoke_base::Map;
use siskinyoke_base::Millis;

use crate::Organisation;
use crate::report::short;

/// The length of one slot of the sliding window.
///
/// Use is forgotten a slot at a time, so the limit is late by this at most: a thirtieth of the
/// window.
const SLOT: Millis = Millis(250);

/// The part of the operators' tolerance that is used.
///
/// The other half covers what peers grant between two of their reports, and what an instance that
/// died had granted since its last one.
const USED: f64 = 0.5;

/// How the operators measure allowances.
#[derive(Debug, Clone, Copy)]
pub struct Measure {
    /// The length of the sliding window.
    pub window: Millis,
    /// The part by which a limit may be exceeded.
    pub overage: f64,
    /// Units by which it may be exceeded besides.
    pub slack: f64,
}

/// One organisation's use over the sliding window, by all instances that are heard.
#[derive(Debug)]
struct Meter {
    limit: f64,
    used: VecDeque<(Millis, f64)>,
    sum: f64,
    own: f64,
}

impl Meter {
    fn add(&mut self, now: Millis, units: f64) {
        let slot = Millis(now.0 - now.0 % SLOT.0);
        match self.used.back_mut() {
            Some(last) if last.0 == slot => last.1 += units,
            _ => self.used.push_back((slot, units)),
        }
        self.sum += units;
    }

    fn expire(&mut self, now: Millis, window: Millis) {
        while let Some((slot, units)) = self.used.front().copied() {
            if now.since(slot) < window + SLOT {
                break;
            }
            self.sum -= units;
            self.used.pop_front();
        }
    }

    // The time until so many units have left the window.
    fn wait(&self, now: Millis, window: Millis, units: f64) -> Millis {
        let mut left = units;
        for (slot, used) in &self.used {
            left -= used;
            if left <= 0.0 {
                return (*slot + window + SLOT).since(now);
            }
        }
        window
    }
}

/// The allowances of all organisations, over a sliding window.
///
/// Every instance counts the use of all: its own at once, that of its peers when their next
/// report comes. Reports are tens of milliseconds old, so the sum overshoots by what arrives in
/// that time. A bucket that fills at the allowed rate would refuse up to a quarter of what the
/// operators' window allows.
#[derive(Debug)]
pub struct Allowances {
    measure: Measure,
    meters: Map<u32, Meter>,
    heard: Map<(u64, u32), u64>,
    started: Option<Millis>,
}

impl Allowances {
    /// Makes the allowances of an instance that knows no organisation yet.
    pub fn new(measure: Measure) -> Self {
        Self { measure, meters: Map::default(), heard: Map::default(), started: None }
    }

    /// Takes over the organisations of a configuration; the use of those that stay is kept.
    pub fn configure(&mut self, now: Millis, organisations: &[Arc<Organisation>]) {
        let started = *self.started.get_or_insert(now);
        let mut meters = Map::default();
        for organisation in organisations {
            let key = short(&organisation.name);
            let old = self.meters.remove(&key);
            if organisation.rate <= 0.0 {
                continue;
            }
            let limit = self.limit(organisation);
            let meter = match old {
                Some(meter) => Meter { limit, ..meter },
                None => self.fresh(limit, started),
            };
            meters.insert(key, meter);
        }
        self.meters = meters;
    }

    /// Takes units for a request, or says when there will be enough.
    ///
    /// `share` is the part of the fleet that this instance can speak for: 1 while it hears all
    /// its peers. Cut off from them it may use only its own part of the limit, as the others go
    /// on granting on their side of the cut.
    ///
    /// # Errors
    ///
    /// The time after which there will be enough.
    pub fn take(
        &mut self,
        now: Millis,
        organisation: &Organisation,
        units: f64,
        share: f64,
    ) -> Result<(), Millis> {
        let window = self.measure.window;
        let Some(meter) = self.meters.get_mut(&short(&organisation.name)) else {
            return Ok(());
        };
        meter.expire(now, window);
        let limit = meter.limit * share;
        if meter.sum + units > limit && meter.sum > 0.0 {
            return Err(meter.wait(now, window, meter.sum + units - limit).max(Millis(1)));
        }
        meter.add(now, units);
        meter.own += units;
        Ok(())
    }

    /// Gives back units of a request that never ran.
    pub fn give_back(&mut self, now: Millis, organisation: &Organisation, units: f64) {
        if let Some(meter) = self.meters.get_mut(&short(&organisation.name)) {
            meter.add(now, -units);
            meter.own -= units;
        }
    }

    /// Adds what a peer used since its last report.
    pub fn heard(&mut self, now: Millis, peer: u64, spent: &[(u32, u64)]) {
        for (key, total) in spent {
            let known = self.heard.insert((peer, *key), *total);
            let Some(known) = known else { continue };
            let Some(meter) = self.meters.get_mut(key) else { continue };
            meter.expire(now, self.measure.window);
            meter.add(now, float(*total) - float(known));
        }
    }

    /// Forgets a peer's start that is over.
    pub fn forget(&mut self, peer: u64) {
        self.heard.retain(|key, _| key.0 != peer);
    }

    /// Returns the units this instance has used by organisation since its start.
    pub fn spent(&self) -> Vec<(u32, u64)> {
        let mut spent: Vec<_> =
            self.meters.iter().map(|(key, meter)| (*key, whole(meter.own))).collect();
        spent.sort_unstable();
        spent
    }

    fn limit(&self, organisation: &Organisation) -> f64 {
        let measure = self.measure;
        let nominal = organisation.rate * measure.window.as_secs() + organisation.burst;
        nominal * (1.0 + measure.overage * USED) + measure.slack * USED
    }

    // A process that starts cannot know what was granted in the window before: all instances may
    // have been killed at once, and empty meters would grant the whole window twice. So the window
    // before its start counts as evenly used in full; it frees itself within one window, and
    // at the usual use nothing is refused.
    fn fresh(&self, limit: f64, started: Millis) -> Meter {
        let mut meter = Meter { limit, used: VecDeque::new(), sum: 0.0, own: 0.0 };
        let slots = self.measure.window.0 / SLOT.0;
        let part = limit / float(slots.max(1));
        for slot in 0..slots {
            let at = started.0.saturating_sub(self.measure.window.0) + slot * SLOT.0;
            meter.add(Millis(at), part);
        }
        meter
    }
}

#[expect(clippy::cast_possible_truncation, reason = "values stay far below 2^52")]
#[expect(clippy::cast_sign_loss, reason = "negative values become zero")]
fn whole(value: f64) -> u64 {
    value.max(0.0) as u64
}

#[expect(clippy::cast_precision_loss, reason = "values stay far below 2^52")]
fn float(value: u64) -> f64 {
    value as f64
}
