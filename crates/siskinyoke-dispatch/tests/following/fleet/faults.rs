//! The faults that a fleet suffers.

use rand::Rng;

use crate::fleet::Fleet;
use crate::fleet::StoreState;
use crate::links::Host;

impl Fleet {
    // Freezes random instances for up to three seconds.
    pub(super) fn inject_freezes(&mut self) {
        if !self.rng.random_bool(0.02) {
            return;
        }
        let index = self.rng.random_range(0..self.nodes.len());
        let until = self.now + self.rng.random_range(300..3_000);
        let node = &mut self.nodes[index];
        node.frozen_until = node.frozen_until.max(until);
        node.healthy_since = node.healthy_since.max(until);
    }

    pub(super) fn inject_faults(&mut self) {
        let count = self.nodes.len();
        let index = self.rng.random_range(0..count);
        let until = self.now + self.rng.random_range(300..6_000);
        if self.rng.random_bool(0.01) {
            self.nodes[index].frozen_until = self.nodes[index].frozen_until.max(until);
            self.nodes[index].healthy_since = self.nodes[index].healthy_since.max(until);
        }
        if self.rng.random_bool(0.005) {
            self.links.reset(Host::Instance(index));
            self.nodes[index] = self.start(index);
        }
        if self.rng.random_bool(0.02) {
            let state = if self.rng.random() {
                StoreState::Rejecting
            } else {
                StoreState::Unresponsive
            };
            self.nodes[index].store_state = (state, until.max(self.nodes[index].store_state.1));
            self.nodes[index].healthy_since = self.nodes[index].healthy_since.max(until);
        }
        if self.rng.random_bool(0.03) {
            let other = self.rng.random_range(0..count);
            self.cut_links.insert((index, other), until);
            for node in [index, other] {
                self.nodes[node].healthy_since = self.nodes[node].healthy_since.max(until);
            }
        }
    }

    // Occasionally begins a store outage, with a calm period after the previous one.
    pub(super) fn inject_outage(&mut self) {
        let calm_period_ms = 6_000;
        if self.now < self.store_outage.1 + calm_period_ms || !self.rng.random_bool(0.002) {
            return;
        }
        let state = if self.rng.random_bool(0.7) {
            StoreState::Unresponsive
        } else {
            StoreState::Rejecting
        };
        let until = self.now + self.rng.random_range(200..8_000);
        self.store_outage = (state, until);
        for node in &mut self.nodes {
            node.healthy_since = node.healthy_since.max(until);
        }
    }

    pub(super) fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut_links
            .get(&(from, to))
            .is_some_and(|until| *until > self.now)
    }

    pub(super) fn store_state(&self, index: usize) -> StoreState {
        let states = [self.store_outage, self.nodes[index].store_state];
        let active = states.iter().find(|state| state.1 > self.now);
        active.map_or(StoreState::Healthy, |state| state.0)
    }
}
