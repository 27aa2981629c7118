//! What every decision of one daemon looks at.

use rand_chacha::ChaCha8Rng;

use crate::Work;
use crate::WorkId;
use crate::admission::Outlook;
use crate::forecast::Forecast;
use crate::pool::Pool;
use crate::queue::LaneKey;
use crate::queue::Queue;
use crate::ramp::Ramp;
use crate::refusal::Refusal;
use crate::shedding::Shedding;
use crate::units;
use crate::weights::Weights;
use siskinyoke_base::Millis;

/// Margin on the time to a useful answer when the last moment to begin is set: work begun at that
/// moment without one misses its need half of the time, and its prefill is wasted.
const LATEST: f64 = 1.2;

/// Work that waits and runs, endpoints, and what is in force.
#[derive(Debug)]
pub(crate) struct State {
    /// A seeded source of chance.
    pub(crate) rng: ChaCha8Rng,
    /// Endpoints and the work on them.
    pub(crate) pool: Pool,
    /// Work that waits.
    pub(crate) queue: Queue,
    /// Shares of organisations.
    pub(crate) weights: Weights,
    /// The load of late.
    pub(crate) forecast: Forecast,
    /// The preset in force.
    pub(crate) ramp: Ramp,
    /// The admission threshold.
    pub(crate) shedding: Shedding,
    /// Refusals that are still to be told.
    pub(crate) refusals: Vec<(WorkId, Refusal)>,
}

impl State {
    /// Estimates what work would find if it were let in.
    pub(crate) fn outlook(&self, now: Millis, work: &Work) -> Outlook {
        let key = LaneKey::of(work);
        let queued = self.queue.before(work, &self.weights);
        // Free slots go to what waits first. Without them a second request that arrives in the
        // same moment at an idle daemon would see one ahead and nothing that ends, for ever.
        let ahead = if self.may_fill(now, &key) {
            let free = f64::from(self.pool.free_slots(now, &work.target));
            let freed = f64::from(self.pool.excess(now, &work.target));
            let short = queued + 1.0 - free;
            if free > 0.0 { short } else { short + freed }
        } else {
            queued + 1.0
        };
        Outlook {
            ahead: ahead.max(0.0),
            ends: self.pool.ends(&work.target) * self.ramp.usable(work.rank),
            above: self.forecast.above(now, &key),
            useful: self.pool.useful(now, work).unwrap_or(f64::INFINITY),
            left: work.deadline.since(now).as_secs(),
            caution: self.ramp.prefill_weight(),
            trust: self.forecast.trust(&key),
        }
    }

    /// Returns the last moment at which work can begin and still be useful.
    pub(crate) fn latest(&self, now: Millis, work: &Work) -> Millis {
        let useful = self.pool.useful(now, work).unwrap_or_default();
        work.deadline.since(units::millis(useful * LATEST))
    }

    /// Tells whether a lane may take one more slot beside what is kept for others.
    pub(crate) fn may_fill(&self, now: Millis, key: &LaneKey) -> bool {
        let share = self.ramp.usable(key.rank);
        let target = &key.target;
        let flights = self.pool.flights();
        if share < 1.0 {
            let slots = f64::from(self.pool.slots(now, target));
            let usable = units::floor(slots * share).max(u32::from(share > 0.0));
            if flights.count_target(target, key.rank) >= usable {
                return false;
            }
        }
        let kept = self.forecast.kept_for_short(now, key, flights);
        kept <= 0.0 || f64::from(self.pool.free_slots(now, target)) >= kept + 1.0
    }

    /// Tells whether work later than `rank` waits or runs here.
    pub(crate) fn has_lower(&self, rank: u8) -> bool {
        let from = rank.saturating_add(1);
        self.pool.flights().count_from(from) > 0 || self.queue.count_from(from) > 0
    }

    /// Tells whether protected work of a rank may be shed.
    ///
    /// Besides the word of all daemons, nothing later may wait or run here: the word is as old as
    /// the round that gave it.
    pub(crate) fn may_shed(&self, now: Millis, rank: u8) -> bool {
        self.shedding.allows(now, rank) && !self.has_lower(rank)
    }

    /// Takes work out of the queue and refuses it.
    pub(crate) fn refuse(&mut self, id: WorkId, refusal: Refusal) {
        if self.queue.remove(id).is_some() {
            self.refusals.push((id, refusal));
        }
    }
}
