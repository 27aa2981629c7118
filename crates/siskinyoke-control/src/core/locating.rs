//! Which address callers are told to use.

use rand::seq::IteratorRandom;

use super::Core;
use super::filters;
use super::filters::RETRY_SOON;
use super::roster::Roster;
use crate::CallId;
use siskinyoke_base::Code;
use siskinyoke_base::Millis;
use siskinyoke_base::Ticket;
use siskinyoke_base::message::End;
use siskinyoke_base::message::Part;

impl Core {
    /// Answers which address to use, with a ticket of this daemon start.
    pub(super) fn locate(&mut self, now: Millis, call: CallId, bearer: &[u8; 32]) {
        let end = if self.view.revision == 0 {
            End::new(Code::NoConfiguration).after(RETRY_SOON)
        } else if self.view.caller(bearer).is_none() {
            End::new(Code::WrongKey)
        } else if self.leaving.is_some() {
            // Its ticket would bring each new request back here, to be refused from wherever
            // it was sent, until this daemon is gone.
            filters::leaving(&self.members)
        } else {
            self.give_location(now, call);
            End::new(Code::Complete)
        };
        self.out.answer(call, Part::End(end));
    }

    fn give_location(&mut self, now: Millis, call: CallId) {
        let expiry = now + self.settings.ticket;
        let ticket = Ticket::seal(&self.me.instance, self.me.incarnation, expiry, &self.secret);
        let others = self.members.others().into_iter();
        let named = others.choose_multiple(&mut self.rng, OTHERS_NAMED);
        let others = named.into_iter().map(|record| record.caller.clone());
        let own = std::iter::once(self.address.clone());
        let body = serde_json::json!({
            "addresses": own.chain(others).collect::<Vec<_>>(),
            "address_keep_ms": self.settings.address.0,
            "ticket": ticket.to_string(),
            "ticket_keep_ms": self.settings.ticket.0,
            "instance": self.me.instance,
            "revision": self.view.revision,
        });
        let content = "application/json".to_owned();
        self.out.answer(
            call,
            Part::Head {
                status: 200,
                content,
                stream: false,
            },
        );
        self.out.answer(call, Part::Piece(body.to_string().into()));
    }
}

/// Other addresses that a caller is told, picked at random: enough to go on when several are gone
/// at once, and a page of some hundred bytes however many instances there are.
const OTHERS_NAMED: usize = 7;
