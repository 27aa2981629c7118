//! Work that waits, by tier and target, then by organisation, then by need.
//!
//! Load pattern: saturation and bursts. Without tiers urgent work waits behind deferrable work;
//! without needs the answer that is due in a second waits behind one due in a minute.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::Work;
use crate::WorkId;
use crate::fair::Turns;
use crate::units;
use crate::weights::Weights;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;
use siskinyoke_base::ModelId;
use siskinyoke_base::OrganisationId;

/// How many of an organisation's requests are tried before its line counts as blocked: one that
/// waits for an endpoint of its own must not hold up those behind it.
const HEADS: usize = 3;

/// A tier's work for one target.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct LaneKey {
    /// The tier's rank; the most urgent lane comes first.
    pub(crate) rank: u8,
    /// The model or service.
    pub(crate) target: ModelId,
}

impl LaneKey {
    /// Returns the lane of some work.
    pub(crate) fn of(work: &Work) -> Self {
        Self {
            rank: work.rank,
            target: work.target.clone(),
        }
    }

    /// Tells whether it holds more urgent work for the same target.
    pub(crate) fn is_above(&self, other: &Self) -> bool {
        self.rank < other.rank && self.target == other.target
    }
}

/// Work that waits.
#[derive(Debug)]
pub(crate) struct Entry {
    /// The work.
    pub(crate) work: Work,
    /// The last moment at which it can begin and still be useful.
    pub(crate) latest: Millis,
    /// Seconds that it was expected to wait.
    pub(crate) wait: f64,
}

/// Place in an organisation's line: late work behind all that is still useful, then by need.
type Place = (bool, Millis, WorkId);

#[derive(Debug, Default)]
struct Lane {
    lines: BTreeMap<OrganisationId, Line>,
    turns: Turns,
}

#[derive(Debug, Default)]
struct Line {
    entries: BTreeMap<Place, Entry>,
}

impl Line {
    fn len(&self) -> f64 {
        f64::from(units::count(self.entries.len()))
    }
}

/// All work that waits in one daemon.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    lanes: BTreeMap<LaneKey, Lane>,
    index: Map<WorkId, (LaneKey, OrganisationId, Place)>,
    latest: BTreeSet<(Millis, WorkId)>,
}

impl Queue {
    /// Adds work with the last moment to begin it and the seconds that it is expected to wait.
    pub(crate) fn push(&mut self, work: Work, latest: Millis, wait: f64) {
        self.latest.insert((latest, work.id));
        let entry = Entry { work, latest, wait };
        self.insert(entry, false);
    }

    /// Takes work out.
    pub(crate) fn remove(&mut self, id: WorkId) -> Option<Entry> {
        let (key, organisation, place) = self.index.remove(&id)?;
        self.latest.remove(&(place.1, id));
        let lane = self.lanes.get_mut(&key)?;
        let own = lane.lines.get_mut(&organisation)?;
        let entry = own.entries.remove(&place)?;
        if own.entries.is_empty() {
            lane.lines.remove(&organisation);
        }
        Some(entry)
    }

    /// Returns work that waits.
    pub(crate) fn get(&self, id: WorkId) -> Option<&Entry> {
        let (key, organisation, place) = self.index.get(&id)?;
        self.lanes
            .get(key)?
            .lines
            .get(organisation)?
            .entries
            .get(place)
    }

    /// Puts work behind all that is still useful.
    pub(crate) fn defer(&mut self, id: WorkId) {
        if let Some(entry) = self.remove(id) {
            self.insert(entry, true);
        }
    }

    /// Returns the first work whose last moment to begin has come.
    pub(crate) fn overdue(&self, now: Millis) -> Option<WorkId> {
        let (latest, id) = self.latest.first()?;
        (*latest <= now).then_some(*id)
    }

    /// Returns the next last moment to begin.
    pub(crate) fn next_latest(&self) -> Millis {
        self.latest.first().map_or(Millis::NEVER, |(at, _)| *at)
    }

    /// Lists the lanes, the most urgent first.
    pub(crate) fn lanes(&self) -> Vec<LaneKey> {
        self.lanes.keys().cloned().collect()
    }

    /// Lists the first few of each organisation's work in a lane, the least served first.
    pub(crate) fn heads(&self, key: &LaneKey) -> Vec<WorkId> {
        let Some(lane) = self.lanes.get(key) else {
            return Vec::new();
        };
        let mut heads: Vec<(f64, Place)> = Vec::new();
        for (id, line) in &lane.lines {
            let used = lane.turns.used(id);
            let first = line.entries.keys().take(HEADS);
            heads.extend(first.map(|place| (used, *place)));
        }
        heads.sort_by(|(a, first), (b, second)| {
            let by_turn = first.0.cmp(&second.0).then(a.total_cmp(b));
            by_turn.then(first.cmp(second))
        });
        heads.into_iter().map(|(_, place)| place.2).collect()
    }

    /// Charges an organisation for work that is dispatched.
    pub(crate) fn charge(&mut self, work: &Work, weight: f64, tokens: f64) {
        let lane = self.lanes.entry(LaneKey::of(work)).or_default();
        lane.turns.charge(&work.organisation, weight, tokens);
    }

    /// Counts the work that goes before some work: that of more urgent tiers, and of its own tier
    /// under fair turns.
    ///
    /// While its own line is served, each other line gets at most its weight's share beside it.
    pub(crate) fn before(&self, work: &Work, weights: &Weights) -> f64 {
        let key = LaneKey::of(work);
        let above = self.lanes.keys().filter(|other| other.is_above(&key));
        let above: u32 = above.map(|other| self.lane_len(other)).sum();
        let lane = self.lanes.get(&key);
        let lines = || lane.into_iter().flat_map(|lane| lane.lines.iter());
        let own = lines().find(|(id, _)| **id == work.organisation);
        let own = own.map_or(0.0, |(_, line)| line.len());
        let weight = weights.get(&work.organisation);
        let others = lines().filter(|(id, _)| **id != work.organisation);
        let beside = others.map(|(id, line)| {
            let turns = (own + 1.0) * weights.get(id) / weight;
            line.len().min(turns)
        });
        f64::from(above) + own + beside.sum::<f64>()
    }

    /// Returns the work to evict first: of the last rank after `rank`, the last to be due; never
    /// protected work.
    pub(crate) fn last(&self, rank: u8) -> Option<WorkId> {
        let lanes = self.lanes.iter().rev();
        lanes
            .filter(|(key, _)| key.rank > rank)
            .flat_map(|(key, lane)| {
                let waiting = lane.lines.values();
                waiting
                    .filter_map(|line| line.entries.last_key_value())
                    .filter(|(_, entry)| !entry.work.protected)
                    .map(|(place, _)| (key.rank, place.1, place.2))
            })
            .max()
            .map(|(_, _, id)| id)
    }

    /// Lists all work that fits a condition, the most urgent first.
    pub(crate) fn find(&self, fits: impl Fn(&Entry) -> bool) -> Vec<WorkId> {
        self.entries()
            .filter(|entry| fits(entry))
            .map(|entry| entry.work.id)
            .collect()
    }

    /// Passes over all work that waits, the most urgent first.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.lanes
            .values()
            .flat_map(|lane| lane.lines.values())
            .flat_map(|line| line.entries.values())
    }

    /// Counts a lane's work.
    pub(crate) fn lane_len(&self, key: &LaneKey) -> u32 {
        let lane = self.lanes.get(key);
        let lines = lane.into_iter().flat_map(|lane| lane.lines.values());
        lines.map(|line| units::count(line.entries.len())).sum()
    }

    /// Counts all work that waits.
    pub(crate) fn len(&self) -> u32 {
        units::count(self.index.len())
    }

    /// Counts work of `rank` or a later one.
    pub(crate) fn count_from(&self, rank: u8) -> u32 {
        let lanes = self.lanes.keys().filter(|key| key.rank >= rank);
        lanes.map(|key| self.lane_len(key)).sum()
    }

    fn insert(&mut self, entry: Entry, deferred: bool) {
        let key = LaneKey::of(&entry.work);
        let organisation = entry.work.organisation.clone();
        let place = (deferred, entry.latest, entry.work.id);
        let found = (key.clone(), organisation.clone(), place);
        self.index.insert(place.2, found);
        let lane = self.lanes.entry(key).or_default();
        let own = lane.lines.entry(organisation).or_default();
        own.entries.insert(place, entry);
    }
}
