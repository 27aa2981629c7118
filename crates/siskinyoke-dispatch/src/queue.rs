//! Requests of one service that wait for a place, the most urgent first.

use std::collections::BTreeSet;

use crate::Ticket;
use crate::pending::QueueOrder;
use crate::report::WaitingRow;
use siskinyoke_base::Millis;

/// Where a request stands in the queue: order, then turn, then ticket.
pub type QueueKey = (QueueOrder, Millis, Ticket);

/// Requests of one service that wait for a place.
#[derive(Debug, Default)]
pub struct Queue {
    keys: BTreeSet<QueueKey>,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, key: QueueKey) {
        self.keys.insert(key);
    }

    /// Takes a request out.
    pub fn remove(&mut self, key: QueueKey) {
        self.keys.remove(&key);
    }

    /// Returns the places in order.
    pub fn iter(&self) -> impl Iterator<Item = QueueKey> {
        self.keys.iter().copied()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Sums up what waits, by order; `stay` is how long each takes.
    pub fn summary(
        &self,
        now: Millis,
        service: u32,
        service_time: impl Fn(Ticket) -> Millis,
    ) -> Vec<WaitingRow> {
        let mut rows: Vec<WaitingRow> = Vec::new();
        for (order, position, ticket) in &self.keys {
            let work = u32::try_from(service_time(*ticket).0).unwrap_or(u32::MAX);
            match rows.last_mut() {
                Some(row) if row.order == *order => {
                    row.count = row.count.saturating_add(1);
                    row.service_time = row.service_time.saturating_add(work);
                }
                _ => rows.push(WaitingRow {
                    service,
                    order: *order,
                    count: 1,
                    oldest_wait: u32::try_from(now.since(*position).0).unwrap_or(u32::MAX),
                    service_time: work,
                }),
            }
        }
        rows
    }
}
