//! Guards that release slots and queue entries however a request ends.

use std::rc::Rc;

use crate::assigned_slot::AssignedSlot;
use crate::lending;
use crate::probes;
use crate::shell::Shell;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Outcome;
use siskinyoke_dispatch::RetryDenial;
use siskinyoke_dispatch::Ticket;
use siskinyoke_dispatch::expected_time::ExpectedTime;
use siskinyoke_dispatch::stall_timeout::STREAM_STALL_TIMEOUT;

/// Guards the slot or queue entry of a request; dropping it cancels the request.
///
/// A caller may disconnect at any await point. Without the guard its slot would stay occupied, and
/// the endpoint would appear busier than it is until the process ends.
#[derive(Debug)]
pub struct Permit {
    shell: Rc<Shell>,
    ticket: Option<Ticket>,
}

impl Permit {
    /// Creates a guard for an admitted request.
    pub fn new(shell: &Rc<Shell>, ticket: Ticket) -> Self {
        Self {
            shell: shell.clone(),
            ticket: Some(ticket),
        }
    }

    /// Disarms the guard of a ticket that the scheduler has already removed: its request was refused
    /// or has another ticket.
    pub fn disarm(mut self) {
        self.ticket = None;
    }

    /// Ends an attempt; returns the ticket of a retry if one is wanted and allowed.
    ///
    /// # Errors
    ///
    /// Why the request is not retried.
    pub fn end_attempt(mut self, outcome: Outcome, retry: bool) -> Result<Ticket, RetryDenial> {
        let Some(ticket) = self.ticket.take() else {
            return Err(RetryDenial::NotRequested);
        };
        self.shell.metrics.record_attempt(outcome_name(outcome));
        lending::return_slot(&self.shell, ticket);
        let now = self.shell.now();
        let mut core = self.shell.core.borrow_mut();
        let retry = core.end_attempt(now, ticket, outcome, retry);
        drop(core);
        // A broken connection may have put the links in doubt.
        probes::start_due(&self.shell);
        retry
    }

    /// Records that the first part of the response arrived.
    pub fn first_part_received(&self) {
        if let Some(ticket) = self.ticket {
            let now = self.shell.now();
            self.shell
                .core
                .borrow_mut()
                .first_part_received(now, ticket);
        }
    }

    /// Records that the end of the response does not say whether it is complete.
    pub fn response_unconfirmed(&self) {
        if let Some(ticket) = self.ticket {
            self.shell.core.borrow_mut().response_unconfirmed(ticket);
        }
    }

    /// Returns how long the endpoint may send no data before it counts as stalled.
    pub fn stall_timeout(&self) -> Millis {
        let core = self.shell.core.borrow();
        self.ticket.map_or(STREAM_STALL_TIMEOUT, |ticket| {
            core.scheduler().stall_timeout(ticket)
        })
    }

    /// Returns the service time that was expected when the request was sent.
    pub fn expected_time(&self) -> Option<ExpectedTime> {
        let core = self.shell.core.borrow();
        core.scheduler().expected_time(self.ticket?)
    }

    /// Ends a stalled attempt if there is a slot for the request at another endpoint, and returns
    /// that slot. This guard then has to be disarmed.
    pub fn try_abandon(&self) -> Option<AssignedSlot> {
        let ticket = self.ticket?;
        let now = self.shell.now();
        let (next, endpoint) = self.shell.core.borrow_mut().try_abandon(now, ticket)?;
        self.shell
            .metrics
            .record_attempt(outcome_name(Outcome::Stalled));
        lending::return_slot(&self.shell, ticket);
        Some(AssignedSlot {
            permit: Self::new(&self.shell, next),
            endpoint,
        })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        self.shell.cancel(ticket);
        self.shell.decide();
    }
}

/// Returns the name of an outcome in logs and metrics.
pub fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Completed { .. } => "done",
        Outcome::Failed => "failed",
        Outcome::Invalid => "invalid",
        Outcome::Full => "full",
        Outcome::Misdirected => "moved",
        Outcome::ConnectFailed => "unreached",
        Outcome::RelayFailed => "unrelayed",
        Outcome::Unverified => "unverified",
        Outcome::ConnectionLost => "broken",
        Outcome::Mismatched => "mismatched",
        Outcome::LinkLost => "link_lost",
        Outcome::Stalled => "silent",
        Outcome::Cancelled => "left",
    }
}
