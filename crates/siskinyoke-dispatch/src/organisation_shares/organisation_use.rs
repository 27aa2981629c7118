//! Slot time of one organisation at one service, in all and by the priority of the route.

use super::usage::Usage;
use siskinyoke_base::Millis;

/// Slot time of one organisation at one service, in all and by the priority of the route.
#[derive(Debug, Default, Clone)]
pub(super) struct OrganisationUse {
    pub(super) total: Usage,
    // What requests asked for, by increasing priority value of their routes.
    routes: Vec<(u8, Usage)>,
}

impl OrganisationUse {
    /// Adds slot time of requests of a route priority.
    pub(super) fn add(&mut self, now: Millis, priority: u8, used: f64, offered: f64) {
        self.total.add(now, used, offered);
        let index = self.routes.partition_point(|it| it.0 < priority);
        if self.routes.get(index).is_none_or(|it| it.0 != priority) {
            self.routes.insert(index, (priority, Usage::default()));
        }
        self.routes[index].1.add(now, 0.0, offered);
    }

    /// Returns the ratio of requests that a share serves by route priority, the highest priority
    /// first; `ratio` is the one over all.
    pub(super) fn ratios(&self, now: Millis, ratio: f64) -> Vec<(u8, f64)> {
        let offered = self.routes.iter().map(|it| (it.0, it.1.at(now).offered));
        let offered: Vec<_> = offered.collect();
        let mut remaining = ratio * offered.iter().map(|it| it.1).sum::<f64>();
        let ratios = offered.into_iter().map(|(priority, offered)| {
            let served = remaining.min(offered);
            remaining -= served;
            (priority, if offered > 0.0 { served / offered } else { 1.0 })
        });
        ratios.collect()
    }
}
