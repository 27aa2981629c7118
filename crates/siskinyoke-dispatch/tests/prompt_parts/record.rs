//! What callers and endpoints observed, and whether it keeps to the rules.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::scenario::Scenario;

/// Time within which a crash has to be known to all instances in touch.
pub const SETTLING_TIME_MS: u64 = 3_000;

/// The number of crashes after which a part has to be known.
const KNOWN_CRASHES: usize = 5;

/// The number of requests that may reach endpoints after that.
const MAX_LATE_REQUESTS: usize = 3;

/// How long the instance that saw a crash has to be in touch to report it.
const REPORT_TIME_MS: u64 = 1_000;

/// How long a sound part may be quarantined if no part crashes endpoints.
const MAX_QUARANTINE_MS: u64 = 1_000;

/// How long a part may stay quarantined after the last request that crashed endpoints.
pub const RECOVERY_TIME_MS: u64 = 60_000;

/// Resolution of the times for which parts are quarantined.
const BIN_MS: u64 = 100;

/// The longest time between two refusals of one quarantine.
const MAX_GAP_MS: u64 = 2_000;

/// The requests from which a share of begun responses is computed.
const MIN_SAMPLE: usize = 20;

/// A request without a part that crashes endpoints.
#[derive(Debug, Clone, Copy)]
pub struct SoundRequest {
    /// When it came, in ms.
    pub sent_at: u64,
    /// The instance that it was sent to.
    pub instance: usize,
    /// The index of its route.
    pub route: usize,
    /// Its first part.
    pub first_part: u64,
    /// Whether its response began.
    pub begun: bool,
}

/// Time and instance of an event.
#[derive(Debug, Clone, Copy)]
pub struct Event {
    /// The time in ms.
    pub at: u64,
    /// The instance that sent the request.
    pub instance: usize,
}

/// What callers and endpoints observed.
#[derive(Debug, Default)]
pub struct Record {
    /// The sound requests.
    pub sound: Vec<SoundRequest>,
    /// Requests with a poisoned part that reached endpoints, by the index of the part.
    pub reached: Vec<Vec<Event>>,
    /// Crashes under a poisoned part, by the index of the part.
    pub crashes: Vec<Vec<Event>>,
    /// The first parts of requests with a poisoned part.
    pub first_parts: Vec<u64>,
    /// Instance, begin and end of each trouble.
    pub troubles: Vec<(usize, u64, u64)>,
    // First and last refusal of the present quarantine, by instance and part.
    quarantines: BTreeMap<(usize, u64), (u64, u64)>,
    // Bins in which sound requests were refused, by part.
    refused: BTreeMap<u64, BTreeSet<u64>>,
    /// When a sound request was last refused because of its parts.
    pub last_refused: Option<u64>,
}

impl Record {
    /// Creates a record for a number of poisoned parts.
    pub fn new(poisoned_count: usize) -> Self {
        Self {
            reached: vec![Vec::new(); poisoned_count],
            crashes: vec![Vec::new(); poisoned_count],
            first_parts: vec![0; poisoned_count],
            ..Self::default()
        }
    }

    /// Records whether an instance refused a sound request because of its parts; `part` is its last
    /// one that others share.
    pub fn quarantined(&mut self, now: u64, instance: usize, part: u64, refused: bool) {
        let key = (instance, part);
        if !refused {
            self.quarantines.remove(&key);
            return;
        }
        self.last_refused = Some(now);
        let span = self.quarantines.entry(key).or_insert((now, now));
        if now - span.1 > MAX_GAP_MS {
            *span = (now, now);
        }
        let bins = span.1 / BIN_MS..=now / BIN_MS;
        span.1 = now;
        self.refused.entry(part).or_default().extend(bins);
    }

    /// Returns a description of each violated rule.
    pub fn violations(&self, scenario: &Scenario, end: u64) -> Vec<String> {
        let mut violations = Vec::new();
        for index in 0..scenario.poisoned.len() {
            violations.extend(self.check_late_requests(index));
            violations.extend(self.check_sound_requests(index, scenario));
        }
        if scenario.poisoned.is_empty() {
            violations.extend(self.check_quarantine_times());
        }
        let recovered = self.last_refused.is_none_or(|at| at + MAX_GAP_MS < end);
        if !recovered && end >= scenario.until + RECOVERY_TIME_MS {
            let text = "a sound part is quarantined a minute after the last poisoned request";
            violations.push(text.to_owned());
        }
        violations
    }

    // At most three requests with a poisoned part may reach endpoints later than the settling time
    // after the fifth crash, sent by instances in touch.
    fn check_late_requests(&self, index: usize) -> Option<String> {
        let crashes = self.crashes[index].iter();
        let mut known = crashes.filter(|it| !self.in_trouble(it, 0, REPORT_TIME_MS));
        let fifth = known.nth(KNOWN_CRASHES - 1)?.at;
        let late: Vec<_> = self.reached[index]
            .iter()
            .filter(|it| it.at > fifth + SETTLING_TIME_MS)
            .filter(|it| !self.in_trouble(it, SETTLING_TIME_MS, 0))
            .map(|it| (it.at, it.instance))
            .collect();
        (late.len() > MAX_LATE_REQUESTS).then(|| {
            format!(
                "part {index}: {} of {} requests reached endpoints too long after the fifth crash \
                 at {fifth} ms, the first at (ms, instance) {:?}",
                late.len(),
                self.reached[index].len(),
                &late[..4]
            )
        })
    }

    // Sound requests of the route have to begin half as often as before the first crash.
    fn check_sound_requests(&self, index: usize, scenario: &Scenario) -> Vec<String> {
        let crashes = &self.crashes[index];
        let Some(last) = crashes.get(KNOWN_CRASHES - 1).or(crashes.last()) else {
            return Vec::new();
        };
        let settled = last.at + 2 * SETTLING_TIME_MS;
        let all_crashes = self.crashes.iter().flatten().map(|it| it.at);
        let first = all_crashes.min().unwrap_or(0);
        let route = scenario.poisoned[index].route;
        let first_part = self.first_parts[index];
        let mut violations = Vec::new();
        for (text, same_part) in [("key", false), ("first part", true)] {
            let included = |it: &&SoundRequest| {
                it.route == route && (!same_part || it.first_part == first_part)
            };
            // Requests of the last second before the crash may be running when it happens.
            let before = self.begun(0, first.saturating_sub(1_000), included);
            let after = self.begun(settled, scenario.until, included);
            if before.1 < MIN_SAMPLE || after.1 < MIN_SAMPLE {
                continue;
            }
            let ratio = |it: (usize, usize)| it.0 as f64 / it.1 as f64;
            if ratio(after) < ratio(before) / 2.0 {
                violations.push(format!(
                    "part {index}: of sound requests with the same {text}, {after:?} began from \
                     {settled} ms on, {before:?} before"
                ));
            }
        }
        violations
    }

    // Returns how many responses to requests of a period began, and the number of these requests.
    fn begun(
        &self,
        from: u64,
        to: u64,
        included: impl Fn(&&SoundRequest) -> bool,
    ) -> (usize, usize) {
        let in_touch = |it: &&SoundRequest| {
            let event = Event {
                at: it.sent_at,
                instance: it.instance,
            };
            !self.in_trouble(&event, SETTLING_TIME_MS, SETTLING_TIME_MS)
        };
        let requests = self.sound.iter();
        let requests = requests.filter(|it| (from..to).contains(&it.sent_at));
        let requests: Vec<_> = requests.filter(included).filter(in_touch).collect();
        let begun = requests.iter().filter(|it| it.begun).count();
        (begun, requests.len())
    }

    fn check_quarantine_times(&self) -> Vec<String> {
        let times = self.refused.iter();
        let times = times.map(|(part, bins)| (part, bins.len() as u64 * BIN_MS, bins));
        let long = times.filter(|it| it.1 > MAX_QUARANTINE_MS);
        long.map(|(part, time, bins)| {
            let first = bins.first().map_or(0, |it| it * BIN_MS);
            format!("part {part:x} was quarantined for {time} ms, first at {first} ms")
        })
        .collect()
    }

    // Returns whether the instance of an event was in trouble up to `before` ms before it, or will
    // be up to `after` ms after it.
    fn in_trouble(&self, event: &Event, before: u64, after: u64) -> bool {
        self.troubles.iter().any(|&(instance, begin, end)| {
            instance == event.instance && begin <= event.at + after && event.at <= end + before
        })
    }
}
