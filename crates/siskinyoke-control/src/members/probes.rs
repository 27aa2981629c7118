//! Whom to send the next heartbeat to, and which ones wait for an answer.

use std::collections::VecDeque;

use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;

/// The most members that wait for an early second probe.
const MOST_URGENT: usize = 64;

/// A heartbeat that waits for its answer.
#[derive(Debug, Clone)]
struct Probe {
    to: InstanceId,
    sent: Millis,
}

/// Probes sent and to be sent.
#[derive(Debug, Default)]
pub struct Probes {
    sent: Vec<Probe>,
    round: VecDeque<InstanceId>,
    urgent: VecDeque<InstanceId>,
    count: u64,
}

impl Probes {
    /// Counts a probe that is due and returns its number.
    pub fn count(&mut self) -> u64 {
        self.count += 1;
        self.count
    }

    /// Asks for an early probe of a member.
    pub fn urge(&mut self, instance: &InstanceId) {
        if self.urgent.len() < MOST_URGENT && !self.urgent.contains(instance) {
            self.urgent.push_back(instance.clone());
        }
    }

    /// Takes the next member that an early probe was asked for.
    pub fn take_urgent(&mut self) -> Option<InstanceId> {
        self.urgent.pop_front()
    }

    /// Takes the next member of the round, which `targets` fills anew when it is over.
    pub fn take_round(&mut self, targets: impl FnOnce() -> Vec<InstanceId>) -> Option<InstanceId> {
        if self.round.is_empty() {
            self.round = targets().into();
        }
        self.round.pop_front()
    }

    /// Notes that a probe was sent.
    pub fn sent(&mut self, to: &InstanceId, now: Millis) {
        self.sent.retain(|probe| probe.to != *to);
        self.sent.push(Probe {
            to: to.clone(),
            sent: now,
        });
    }

    /// Notes that a member was heard, and returns whether a probe of it waited.
    pub fn answered(&mut self, from: &InstanceId) -> bool {
        let before = self.sent.len();
        self.sent.retain(|probe| probe.to != *from);
        self.sent.len() < before
    }

    /// Takes out the members whose answer is overdue.
    pub fn take_overdue(&mut self, now: Millis, limit: Millis) -> Vec<InstanceId> {
        let overdue = |probe: &Probe| now.since(probe.sent) >= limit;
        let names = self.sent.iter().filter(|probe| overdue(probe));
        let names = names.map(|probe| probe.to.clone()).collect();
        self.sent.retain(|probe| !overdue(probe));
        names
    }
}
