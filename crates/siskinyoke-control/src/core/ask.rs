//! A request on its way through the filters.

use std::sync::Arc;

use super::ending::Past;
use super::job::Listener;
use crate::Sender;
use crate::configuration::Resolved;
use crate::configuration::View;
use siskinyoke_base::CallClass;
use siskinyoke_base::CallHead;
use siskinyoke_base::Identity;
use siskinyoke_base::Millis;
use siskinyoke_base::message::End;

/// A request on its way through the filters.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Who gets the answer.
    pub listener: Listener,
    /// What the caller sent.
    pub head: CallHead,
    /// Digest of its content.
    pub digest: [u8; 32],
    /// When it arrived here.
    pub arrived: Millis,
    /// The revision that it is wholly decided under.
    pub view: Arc<View>,
    /// How it reached this instance.
    pub origin: Origin,
}

impl Ask {
    /// Tells whether its caller says that it was sent before.
    pub fn resent(&self) -> bool {
        self.head.retry.is_some_and(|count| count > 0)
    }

    /// Returns what may have happened to it, as long as nothing is known of its identity.
    ///
    /// The owner that was lost may have run what is adopted from it. A key without a ticket may have gone to any instance before; a plain client that does
    /// not count its sendings cannot be told that what must run at most once was not run.
    pub fn past(&self, class: CallClass) -> Past {
        let plain = self.head.key.is_some() && self.head.ticket.is_none();
        let uncounted = plain && class != CallClass::Idempotent && self.head.retry.is_none();
        let adopted = matches!(self.origin, Origin::Adopted { .. });
        if self.resent() || uncounted || adopted {
            Past::Earlier
        } else {
            Past::Untouched
        }
    }
}

/// How a request reached this instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// From its caller.
    Caller,
    /// From a peer, as this daemon start owns it.
    Peer {
        /// What remains of its need.
        remaining: Millis,
        /// Whether the peer found the owner by a claim.
        claimed: bool,
    },
    /// From its caller, after its owner was lost and found repeatable.
    Adopted {
        /// The identity that it keeps.
        identity: Identity,
    },
}

/// What a filter made of a request.
#[derive(Debug)]
pub enum Flow {
    /// It goes on to the next filter.
    Next(Passed),
    /// It ends here.
    End(End),
    /// It joins work that is under way.
    Join(siskinyoke_policy::WorkId),
    /// It is answered from the ledger.
    Replay(Identity),
    /// It is sent on to its owner.
    Forward {
        /// The owner.
        owner: Sender,
        /// What the configuration says of it.
        resolved: Resolved,
    },
    /// It waits for its claim; the flag tells whether the claim is still to be begun.
    Claim(Identity, bool),
}

/// What the filters have found out about a request.
#[derive(Debug, Clone, Default)]
pub struct Passed {
    /// What the configuration says of it.
    pub resolved: Option<Resolved>,
    /// Its identity, if it came with a key.
    pub identity: Option<Identity>,
    /// What may have happened to it before.
    pub past: Past,
}
