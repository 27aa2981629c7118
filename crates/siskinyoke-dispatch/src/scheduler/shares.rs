//! Division of slots between organisations: which waiting requests go after those of others.

use std::sync::Arc;

use super::Scheduler;
use super::queue_key;
use crate::Organisation;
use crate::Report;
use crate::ScheduledRequest;
use crate::Ticket;
use crate::organisation_shares::OrganisationShares;
use crate::organisation_shares::share_class::ShareClass;
use crate::report::ServiceShareRows;
use crate::size_shares::SizeShares;
use siskinyoke_base::Millis;

impl Scheduler {
    /// Returns the shares of the slots between organisations.
    pub fn shares(&self) -> &OrganisationShares {
        &self.shares
    }

    /// Returns how often long requests are served, compared with all requests of their route.
    pub fn size_shares(&self) -> &SizeShares {
        &self.size_shares
    }

    /// Sets the organisations between which slots are divided.
    pub(crate) fn configure_shares(&mut self, organisations: &[Arc<Organisation>]) {
        self.shares.configure(organisations);
    }

    /// Records the slot time that a peer reports.
    pub(crate) fn receive_shares(&mut self, now: Millis, incarnation: u64, report: &Report) {
        self.shares.receive(now, incarnation, &report.shares);
        self.size_shares
            .receive(now, incarnation, &report.size_shares);
    }

    /// Forgets the slot time reported by a peer's process that has been replaced.
    pub(crate) fn forget_peer_shares(&mut self, incarnation: u64) {
        self.shares.forget_peer(incarnation);
        self.size_shares.forget_peer(incarnation);
    }

    /// Returns the slot time of organisations for the next report.
    pub(crate) fn share_rows(&mut self, now: Millis) -> Vec<ServiceShareRows> {
        self.shares.report_rows(now)
    }

    /// Drops slot time that has decayed.
    pub(crate) fn prune_shares(&mut self, now: Millis) {
        self.shares.prune(now);
        self.size_shares.prune(now);
    }

    // Updates the shares if that is due, and the order of requests whose organisations no longer ask
    // for more than the others.
    pub(super) fn update_shares(&mut self, now: Millis) {
        if !self.shares.update(now) {
            return;
        }
        let shares = &self.shares;
        let waiting = self.waiting.iter();
        let marked = waiting.filter(|row| row.1.share_class != ShareClass::Within);
        let cleared = marked.filter(|row| !shares.is_loud(row.1));
        let cleared: Vec<Ticket> = cleared.map(|row| *row.0).collect();
        for ticket in cleared {
            self.reorder(ticket, |request| request.share_class = ShareClass::Within);
        }
    }

    // Changes a waiting request and moves it to its place in the queue.
    pub(super) fn reorder(&mut self, ticket: Ticket, change: impl FnOnce(&mut ScheduledRequest)) {
        let Some(request) = self.waiting.get_mut(&ticket) else {
            return;
        };
        let Some(queue) = self.queues.get_mut(&request.service) else {
            return;
        };
        queue.remove(queue_key(ticket, request));
        change(request);
        queue.push(queue_key(ticket, request));
    }
}
