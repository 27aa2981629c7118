//! Guards that keep the counts right however a request ends.

use std::rc::Rc;

use crate::lending;
use crate::shell::Shell;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Outcome;
use siskinyoke_dispatch::Ticket;
use siskinyoke_dispatch::stall_timeout::STREAM_STALL_TIMEOUT;

/// A request that waits, or one that runs on an endpoint.
///
/// A caller may leave at any await. Without the guard its place would stay taken for ever, and
/// the endpoint would seem fuller than it is until the process ends.
#[derive(Debug)]
pub struct Permit {
    shell: Rc<Shell>,
    ticket: Option<Ticket>,
}

impl Permit {
    /// Guards a request that was let in.
    pub fn new(shell: &Rc<Shell>, ticket: Ticket) -> Self {
        Self {
            shell: shell.clone(),
            ticket: Some(ticket),
        }
    }

    /// Takes note that the request was refused: nothing is left to end.
    pub fn disarm(mut self) {
        self.ticket = None;
    }

    /// Ends a running stay; returns a ticket to wait with if it may go on elsewhere.
    pub fn end_attempt(mut self, outcome: Outcome, retry: bool) -> Option<Ticket> {
        let ticket = self.ticket.take()?;
        self.shell.metrics.record_attempt(outcome_name(outcome));
        lending::return_slot(&self.shell, ticket);
        self.shell
            .core
            .borrow_mut()
            .attempt_ended(self.shell.now(), ticket, outcome, retry)
    }

    /// Takes note that the first part of the answer came.
    pub fn first_part_received(&self) {
        if let Some(ticket) = self.ticket {
            let now = self.shell.now();
            self.shell
                .core
                .borrow_mut()
                .first_part_received(now, ticket);
        }
    }

    /// Returns how long the endpoint may stay silent.
    pub fn stall_timeout(&self) -> Millis {
        let core = self.shell.core.borrow();
        self.ticket.map_or(STREAM_STALL_TIMEOUT, |ticket| {
            core.scheduler().stall_timeout(ticket)
        })
    }

    /// Returns whether a try that stays silent may be given up for another endpoint.
    pub fn try_abandon(&self) -> bool {
        let Some(ticket) = self.ticket else {
            return false;
        };
        self.shell
            .core
            .borrow_mut()
            .try_abandon(self.shell.now(), ticket)
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

/// Returns an outcome's name in logs and metrics.
pub fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Completed { .. } => "done",
        Outcome::Failed => "failed",
        Outcome::Full => "full",
        Outcome::Misdirected => "moved",
        Outcome::ConnectFailed => "unreached",
        Outcome::ConnectionLost => "broken",
        Outcome::Stalled => "silent",
        Outcome::Cancelled => "left",
    }
}
