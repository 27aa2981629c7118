//! How instances read and watch the store.

use crate::fleet::Fleet;
use crate::fleet::LARGE_RESPONSE_BYTES;
use crate::fleet::READ_TIMEOUT_MS;
use crate::fleet::StoreState;
use crate::fleet::Transfer;
use crate::fleet::WATCH_MARGIN_MS;
use crate::fleet::Watch;
use crate::links::Host;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::watch::MAX_PROBES;
use siskinyoke_dispatch::watch::PROBE_INTERVAL;
use siskinyoke_dispatch::watchers::StoreRole;

impl Fleet {
    pub(super) fn step_watch(&mut self, index: usize) {
        if self.nodes[index].watch_due > self.now {
            return;
        }
        if let Some(watch) = self.nodes[index].watch {
            return self.poll_watch(index, watch);
        }
        if self.nodes[index].core.store_role(Millis(self.now)) == StoreRole::Follower {
            self.nodes[index].watch_due = self.now + 200;
            return;
        }
        // The first read is not a watch.
        self.calls += u64::from(self.nodes[index].core.store_revision().number > 0);
        if self.store_state(index) == StoreState::Rejecting {
            return self.watch_failed(index);
        }
        let watch = Watch {
            started: self.now,
            timeout: self.nodes[index].core.watch_timeout().0,
            lost: false,
            sent: 1,
            probing: !self.nodes[index].core.reaches_store(),
            known: 0,
            body_started: 0,
            transfer: None,
        };
        self.poll_watch(index, watch);
    }

    pub(super) fn poll_watch(&mut self, index: usize, mut watch: Watch) {
        let silent = self.store_state(index) == StoreState::Unresponsive;
        let probe_due = watch.started + u64::from(watch.sent) * PROBE_INTERVAL.0;
        let max_probes = self.nodes[index].core.max_probes(Millis(self.now));
        if watch.probing && self.now >= probe_due && watch.sent < max_probes {
            watch.sent += 1;
            watch.lost = false;
            self.calls += 1;
        }
        watch.lost |= silent;
        self.nodes[index].watch = Some(watch);
        let known = self.watch_revision(index);
        let limit = if watch.probing {
            u64::from(MAX_PROBES) * PROBE_INTERVAL.0
        } else if known == 0 {
            READ_TIMEOUT_MS
        } else {
            watch.timeout + WATCH_MARGIN_MS
        };
        // A response that has begun is received whole.
        if self.now >= watch.started + limit && (watch.transfer.is_none() || watch.lost) {
            self.watch_failed(index);
            if watch.probing && watch.lost {
                self.nodes[index].watch_due = self.now;
            }
            return;
        }
        if watch.lost || self.store_state(index) == StoreState::Rejecting {
            return;
        }
        let revision = self.history.revision();
        if let Some(transfer) = watch.transfer {
            if self.links.is_complete(transfer.id) {
                self.watch_succeeded(index, transfer.revision);
            } else if transfer.large {
                self.read_ahead(index, watch.known);
            }
        } else if revision > known {
            let bytes = self.history.store_bytes(known, revision);
            let id = self.links.start(Host::Store, Host::Instance(index), bytes);
            watch.known = known;
            watch.body_started = self.now;
            watch.transfer = Some(Transfer {
                id,
                revision,
                large: known > 0 && bytes >= LARGE_RESPONSE_BYTES,
            });
            self.nodes[index].watch = Some(watch);
        } else if self.now >= watch.started + watch.timeout {
            self.watch_succeeded(index, revision);
        }
    }

    pub(super) fn watch_succeeded(&mut self, index: usize, revision: u64) {
        let body_started = self.nodes[index].watch.map_or(0, |it| it.body_started);
        self.cancel_watch(index);
        let known = self.watch_revision(index);
        let node = &mut self.nodes[index];
        node.watch_backoff = 100;
        node.core.store_call_succeeded();
        if revision <= known {
            return;
        }
        self.apply_configuration(index, revision);
        if revision > self.nodes[index].core.store_revision().number {
            self.apply_revisions(index, revision);
        }
        if known > 0 {
            let node = &mut self.nodes[index];
            let received_in = Millis(self.now - body_started);
            node.watch_due = self.now + node.core.update_batch_delay(received_in).0;
        }
    }

    pub(super) fn cancel_watch(&mut self, index: usize) {
        let watch = self.nodes[index].watch.take();
        if let Some(transfer) = watch.and_then(|it| it.transfer) {
            self.links.finish(transfer.id);
        }
    }

    pub(super) fn watch_failed(&mut self, index: usize) {
        self.cancel_watch(index);
        let node = &mut self.nodes[index];
        node.core.store_call_failed(Millis(self.now));
        node.watch_due = self.now + node.watch_backoff;
        node.watch_backoff = (node.watch_backoff * 2).min(PROBE_INTERVAL.0);
    }
}
