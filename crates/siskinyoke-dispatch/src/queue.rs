//! Queue of the requests of one service that wait for a slot.

use std::collections::BTreeSet;

use crate::Ticket;
use crate::report::WaitingRow;
use crate::scheduled_request::QueueOrder;
use siskinyoke_base::Millis;

/// The sort key of a queued request: queue order, then virtual arrival, then ticket.
pub type QueueKey = (QueueOrder, Millis, Ticket);

/// The requests of one service that wait for a slot, sorted by their keys.
#[derive(Debug, Default)]
pub struct Queue {
    keys: BTreeSet<QueueKey>,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, key: QueueKey) {
        self.keys.insert(key);
    }

    /// Removes a request.
    pub fn remove(&mut self, key: QueueKey) {
        self.keys.remove(&key);
    }

    /// Returns the keys in queue order.
    pub fn iter(&self) -> impl Iterator<Item = QueueKey> {
        self.keys.iter().copied()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns a summary of the waiting requests that have a service time: a row for each queue order,
    /// with the sum of these times.
    pub fn summary(
        &self,
        now: Millis,
        service: u32,
        service_time: impl Fn(Ticket) -> Option<Millis>,
    ) -> Vec<WaitingRow> {
        let mut rows: Vec<WaitingRow> = Vec::new();
        for (order, virtual_arrival, ticket) in &self.keys {
            let Some(time) = service_time(*ticket) else {
                continue;
            };
            let time_ms = u32::try_from(time.0).unwrap_or(u32::MAX);
            match rows.last_mut() {
                Some(row) if row.order == *order => {
                    row.count = row.count.saturating_add(1);
                    row.service_time = row.service_time.saturating_add(time_ms);
                }
                _ => rows.push(WaitingRow {
                    service,
                    order: *order,
                    count: 1,
                    oldest_wait: u32::try_from(now.since(*virtual_arrival).0).unwrap_or(u32::MAX),
                    service_time: time_ms,
                }),
            }
        }
        rows
    }
}
