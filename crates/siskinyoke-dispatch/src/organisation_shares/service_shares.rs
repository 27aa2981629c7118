//! Shares of the slots of one service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::allotment::Allotment;
use super::fair_level::Claim;
use super::fair_level::fair_level;
use super::organisation_use::OrganisationUse;
use super::share_class::ShareClass;
use super::share_state::ShareState;
use super::usage::Usage;
use super::usage::mean_slots;
use super::usage::remaining_ratio;
use crate::report::ShareRow;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// The use, as a multiple of its share, below which all requests of a loud organisation are within
/// its share, and from which none is.
const MIN_USED_RATIO: f64 = 0.5;
const MAX_USED_RATIO: f64 = 1.1;

/// How long slots count as short after a request could not be admitted on time or waited too long.
const SHORTAGE_TIME: Millis = Millis(1_000);

/// The interval at which the fair levels are computed while slots are short.
const UPDATE_INTERVAL: Millis = Millis(100);

/// How much more an organisation asks for per weight than the others of its tier do, as a ratio,
/// before it counts as loud.
///
/// In a peak of all organisations each of them asks for more than its share. They are refused
/// alike, and their order stays as it is.
const LOUD_RATIO: f64 = 1.5;

/// The time after which an organisation that is not served uses no more than its share again,
/// however small that is and however much it used before.
const MAX_DEBT_TIME: Millis = Millis(1_000);

/// How long the rows of a peer are used as they are; they arrive several times in that time.
const STEADY_TIME: Millis = Millis(1_000);

/// The slot time, in ms, below which an organisation's use is dropped.
const MIN_KEPT_TIME: f64 = 20.0;

/// The maximum number of organisations in a report; the others are reported as one.
const MAX_REPORTED: usize = 16;

/// The organisation in the rows that stand for all others of a tier.
const OTHER_ORGANISATIONS: u32 = 0;

/// A tier and the hash of an organisation's name.
pub type ShareKey = (u8, u32);

// Used and offered slot time by organisation.
type Totals = BTreeMap<ShareKey, (f64, f64)>;

/// Slot time of one service by organisation, and the fair level of each tier.
#[derive(Debug, Default)]
pub struct ServiceShares {
    own: BTreeMap<ShareKey, OrganisationUse>,
    // The slot time that requests of peers, and of this instance, had used when the levels were
    // last computed.
    peers: Map<ShareKey, f64>,
    own_before: Map<ShareKey, f64>,
    // The number of peers that reported slot time then.
    peer_count: f64,
    // Slot time per weight by tier; a tier without an entry has no shortage.
    levels: BTreeMap<u8, f64>,
    // The organisations that ask for much more than the others, by route priority.
    loud: BTreeMap<ShareKey, BTreeMap<u8, Allotment>>,
    short_until: BTreeMap<u8, Millis>,
    // The same by what peers report.
    short_at_peers: BTreeMap<u8, Millis>,
    updated_at: Option<Millis>,
}

impl ServiceShares {
    /// Adds slot time of an organisation, for a route of this priority.
    pub fn add(&mut self, now: Millis, key: ShareKey, priority: u8, used: f64, offered: f64) {
        let usage = self.own.entry(key).or_default();
        usage.add(now, priority, used, offered);
    }

    /// Records that a request of a tier could not be admitted on time, or waited too long.
    pub fn record_shortage(&mut self, now: Millis, tier: u8) {
        self.short_until.insert(tier, now + SHORTAGE_TIME);
    }

    /// Records that a peer reports a shortage for a tier.
    pub fn record_peer_shortage(&mut self, now: Millis, tier: u8) {
        self.short_at_peers.insert(tier, now + SHORTAGE_TIME);
    }

    /// Returns whether slots are short for any tier, here or at a peer.
    pub fn any_short(&self, now: Millis) -> bool {
        let mut ends = self
            .short_until
            .values()
            .chain(self.short_at_peers.values());
        ends.any(|until| now < *until)
    }

    /// Returns the tiers for which slots are short here.
    pub fn short_tiers(&self, now: Millis) -> Vec<u8> {
        let short = self.short_until.iter().filter(|row| now < *row.1);
        short.map(|row| *row.0).collect()
    }

    /// Returns whether the fair levels are to be computed now.
    pub fn update_due(&self, now: Millis) -> bool {
        let interval_over = self
            .updated_at
            .is_none_or(|at| now.since(at) >= UPDATE_INTERVAL);
        interval_over && (self.any_short(now) || !self.levels.is_empty())
    }

    /// Computes the fair levels from own slot time and the rows of peers, each with its age.
    pub fn update<'a>(
        &mut self,
        now: Millis,
        peer_rows: impl Iterator<Item = (Millis, &'a ShareRow)>,
        peer_count: u32,
        weight_of: impl Fn(u32) -> f64,
    ) {
        self.updated_at = Some(now);
        self.peer_count = f64::from(peer_count);
        self.prune(now);
        let totals = self.sum_usage(now, peer_rows);
        self.update_levels(now, &totals, &weight_of);
        self.limit_debts(now, &totals, &weight_of);
        let own = self.own.iter();
        self.own_before = own.map(|row| (*row.0, row.1.total.at(now).used)).collect();
    }

    /// Returns the class of a new request that takes this slot time.
    pub fn classify(
        &mut self,
        now: Millis,
        key: ShareKey,
        priority: u8,
        weight: f64,
        time: f64,
    ) -> ShareClass {
        let state = self.state(now, key, weight);
        let Some((allotments, state)) = self.loud.get_mut(&key).zip(state) else {
            return ShareClass::Within;
        };
        let admitted = allotments.entry(priority).or_default().admits(time);
        let used_ratio = state.used_slots / state.share_slots;
        if used_ratio < MIN_USED_RATIO || (admitted && used_ratio < MAX_USED_RATIO) {
            ShareClass::Within
        } else if used_ratio < 1.0 {
            ShareClass::Marginal
        } else {
            ShareClass::Above
        }
    }

    /// Returns whether an organisation asks for much more than the others of its tier while slots
    /// are short.
    pub fn is_loud(&self, key: ShareKey) -> bool {
        self.loud.contains_key(&key)
    }

    /// Returns an organisation's use and share, or `None` while slots are not short for its tier.
    pub fn state(&self, now: Millis, key: ShareKey, weight: f64) -> Option<ShareState> {
        let level = *self.levels.get(&key.0)?;
        let own = self.own.get(&key);
        let own = own.map_or(0.0, |it| it.total.at(now).used);
        let peers = self.peers.get(&key).copied().unwrap_or_default();
        let before = self.own_before.get(&key).copied().unwrap_or_default();
        let remaining = remaining_ratio(now.since(self.updated_at.unwrap_or_default()));
        // What this instance has started since then, its peers have started as well.
        let growth = (own - before * remaining).max(0.0) * self.peer_count;
        let used = own + peers * remaining + growth;
        let share = level * weight;
        Some(ShareState {
            used_slots: mean_slots(used),
            share_slots: mean_slots(share),
            above_share: used > share && self.loud.contains_key(&key),
        })
    }

    /// Returns the organisations that have used slots here, with the most use first.
    pub fn top_users(&self, now: Millis) -> Vec<(ShareKey, Usage)> {
        let rows = self.own.iter().map(|row| (*row.0, row.1.total.at(now)));
        let mut rows: Vec<_> = rows.collect();
        rows.sort_by(|a, b| b.1.used.total_cmp(&a.1.used).then(a.0.cmp(&b.0)));
        rows
    }

    /// Returns the rows for a report: the organisations with the most use, and one row for the others
    /// of each tier.
    pub fn rows(&self, now: Millis) -> Vec<ShareRow> {
        let top = self.top_users(now);
        let (listed, others) = top.split_at(top.len().min(MAX_REPORTED));
        let mut rest: BTreeMap<u8, Usage> = BTreeMap::new();
        for ((tier, _), usage) in others {
            let sum = rest.entry(*tier).or_default();
            sum.add(now, usage.used, usage.offered);
        }
        let rest = rest
            .into_iter()
            .map(|row| ((row.0, OTHER_ORGANISATIONS), row.1));
        let rows = listed.iter().copied().chain(rest);
        rows.map(|((tier, organisation), usage)| ShareRow {
            tier,
            organisation,
            used: to_u32(usage.used),
            offered: to_u32(usage.offered),
        })
        .collect()
    }

    /// Drops what has decayed.
    pub fn prune(&mut self, now: Millis) {
        self.own
            .retain(|_, it| it.total.at(now).offered >= MIN_KEPT_TIME);
        self.short_until.retain(|_, until| now < *until);
        self.short_at_peers.retain(|_, until| now < *until);
    }

    /// Returns whether nothing is left to keep.
    pub fn is_empty(&self) -> bool {
        self.own.is_empty() && self.short_until.is_empty()
    }

    // Returns the used and the offered slot time of each organisation, here and at peers.
    fn sum_usage<'a>(
        &mut self,
        now: Millis,
        peer_rows: impl Iterator<Item = (Millis, &'a ShareRow)>,
    ) -> Totals {
        let own = self.own.iter().map(|row| (*row.0, row.1.total.at(now)));
        let mut totals: Totals = own.map(|it| (it.0, (it.1.used, it.1.offered))).collect();
        self.peers.clear();
        for (age, row) in peer_rows.filter(|it| it.1.organisation != OTHER_ORGANISATIONS) {
            // A peer that goes on as before uses as much as decays.
            let factor = remaining_ratio(age.since(STEADY_TIME));
            let used = f64::from(row.used) * factor;
            let total = totals.entry((row.tier, row.organisation)).or_default();
            total.0 += used;
            total.1 += f64::from(row.offered) * factor;
            *self.peers.entry((row.tier, row.organisation)).or_default() += used;
        }
        totals
    }

    // Computes the fair level and the loud organisations of each tier for which slots are short.
    fn update_levels(&mut self, now: Millis, totals: &Totals, weight_of: impl Fn(u32) -> f64) {
        self.levels.clear();
        let before = std::mem::take(&mut self.loud);
        let here = self.short_until.keys();
        let short: BTreeSet<u8> = here.chain(self.short_at_peers.keys()).copied().collect();
        for tier in short {
            let rows = totals.range((tier, 0)..=(tier, u32::MAX));
            let claims = rows.clone().map(|(key, total)| Claim {
                offered: total.1,
                weight: weight_of(key.1),
            });
            let claims: Vec<_> = claims.collect();
            let tier_claim = Claim::sum(&claims);
            let used = rows.clone().map(|row| row.1.0).sum();
            let level = fair_level(used, claims.clone());
            self.levels.insert(tier, level);
            for ((key, _), claim) in rows.zip(claims).filter(|row| is_loud(row.1, tier_claim)) {
                let mut allotments = before.get(key).cloned().unwrap_or_default();
                if let Some(own) = self.own.get(key) {
                    for (priority, ratio) in own.ratios(now, level / claim.per_weight()) {
                        allotments.entry(priority).or_default().set_ratio(ratio);
                    }
                }
                self.loud.insert(*key, allotments);
            }
        }
    }

    // Limits the use of organisations to what decays to their shares within `MAX_DEBT_TIME`.
    fn limit_debts(&mut self, now: Millis, totals: &Totals, weight_of: impl Fn(u32) -> f64) {
        for (key, usage) in &mut self.own {
            let (Some(level), Some((used, _))) = (self.levels.get(&key.0), totals.get(key)) else {
                continue;
            };
            let share = level * weight_of(key.1);
            let limit = share / remaining_ratio(MAX_DEBT_TIME);
            if *used > limit {
                usage.total.scale_used(now, limit / used);
            }
        }
    }
}

// Returns whether an organisation asks for much more per weight than the others of its tier
// together.
fn is_loud(claim: Claim, tier: Claim) -> bool {
    let others = Claim {
        offered: tier.offered - claim.offered,
        weight: tier.weight - claim.weight,
    };
    // A single organisation has no others, and the comparison with NaN fails.
    claim.per_weight() > others.per_weight() * LOUD_RATIO
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "not negative, and larger values saturate"
)]
fn to_u32(slot_time: f64) -> u32 {
    slot_time as u32
}
