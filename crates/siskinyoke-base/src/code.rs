//! Numbered result codes; `docs/CODES.md` is their table.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// What a caller may conclude about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The whole answer was given.
    Done,
    /// The request never reached an endpoint and never will under this answer.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Kind {
    /// Returns the word used in the `Siskinyoke-Kind` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $kind:ident, $status:literal, $text:literal;)*) => {
        /// A numbered result code.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum Code {
            $($(#[$doc])* $name = $number,)*
        }

        impl Code {
            /// Every code, in the order of its number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns what a caller may conclude; the one place that decides it.
            pub const fn kind(self) -> Kind {
                match self { $(Self::$name => Kind::$kind,)* }
            }

            /// Returns the HTTP status that goes with the code.
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Returns a sentence for the caller, with a hint.
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

codes! {
    /// The whole answer was given.
    Complete = 1000, Done, 200, "The whole answer was given.";
    /// A stream has begun; its end tells how it went.
    Streaming = 1001, Unknown, 200, "The stream has begun; only its end says how it went.";
    /// It ran and finished before, and its answer is no longer held.
    AnswerGone = 1002, Done, 410, "This request was answered before; the answer is no longer held.";
    /// The endpoint ran the request and answered with an error of its own.
    EndpointError = 1003, Done, 502, "The endpoint answered with an error, which is passed on.";

    /// The request's body or head is malformed.
    Malformed = 2000, NotRun, 400, "The request cannot be read; see the detail for the place.";
    /// The body is over the limit.
    BodyTooLarge = 2001, NotRun, 413, "The body is over the limit; send less at once.";
    /// The header section is over the limit.
    HeadTooLarge = 2002, NotRun, 431, "The header section is over the limit.";
    /// The sender was too slow.
    SlowSender = 2003, NotRun, 408, "The request did not arrive in time; send it again.";
    /// Too many connections are open.
    TooManyConnections = 2004, NotRun, 503, "Too many connections are open here; use another address.";
    /// No key, or one that is not known.
    WrongKey = 2005, NotRun, 401, "The key is missing or not known.";
    /// The model or service is not known to this organisation.
    UnknownModel = 2006, NotRun, 404, "This model or service is not known or not open to you.";
    /// The need lies in the past or is zero.
    NeedPast = 2007, NotRun, 400, "The need is already past.";
    /// The ticket cannot be read or its seal is wrong.
    WrongTicket = 2008, NotRun, 400, "The ticket is not one of ours; ask GET /v1/locate.";
    /// The route is not known.
    UnknownRoute = 2009, NotRun, 404, "There is no such path here.";
    /// A non-idempotent route needs an idempotency key.
    KeyRequired = 2010, NotRun, 428, "This route is non-idempotent: send an Idempotency-Key.";
    /// The key was used before with other content.
    KeyReused = 2011, NotRun, 422, "This idempotency key was used with another body; draw a new key.";
    /// The key is known but may not do this.
    Forbidden = 2012, NotRun, 403, "This key may not do that.";

    /// It could not finish in time, so it was refused at once.
    Overloaded = 3000, NotRun, 429, "It could not be answered within its need; come back later.";
    /// It waited and was shed for more urgent work.
    Shed = 3001, NotRun, 429, "More urgent work took its place; come back later.";
    /// It waited past its need.
    Late = 3002, NotRun, 503, "It waited past its need and was given up; come back later.";
    /// The daemon is leaving.
    Leaving = 3003, NotRun, 503, "This instance is leaving; use another address.";
    /// The organisation's allowance is used up.
    OverAllowance = 3004, NotRun, 429, "The organisation's allowance is used up; come back later.";
    /// No configuration is known yet, or it may be out of date.
    NoConfiguration = 3005, NotRun, 503, "This instance does not know what is in force; use another.";
    /// No endpoint is there for it.
    NoEndpoint = 3006, NotRun, 503, "No endpoint for it can be reached; come back later.";
    /// A claim could not be made in the platform's service.
    NoClaim = 3007, NotRun, 503, "The claim could not be made; use a ticket from GET /v1/locate.";
    /// The content was involved in crashes of endpoints.
    Quarantined = 3008, NotRun, 422, "This content crashed endpoints; it is held back for a while.";
    /// The caller went away before it ran.
    CallerGone = 3009, NotRun, 499, "The caller went away before it ran.";
    /// The ticket may no longer be used for a first sending.
    TicketExpired = 3010, NotRun, 409, "The ticket has expired; ask GET /v1/locate.";
    /// Too many identities are held already.
    LedgerFull = 3011, NotRun, 503, "Too many keyed requests are held here; use another address.";

    /// An endpoint turned it away unrun, and no other may be asked.
    Rejected = 3012, NotRun, 503, "The endpoint had no room, and no other may be asked; come back later.";

    /// The endpoint broke off and it may have run.
    Broken = 4000, Unknown, 502, "The endpoint broke off; the request may have run.";
    /// The endpoint took too long and it may have run.
    TimedOut = 4001, Unknown, 504, "The endpoint took too long; the request may have run.";
    /// The owner of the request is gone and it may have run.
    OwnerGone = 4002, Unknown, 409, "The instance that held this request is gone; it may have run.";
    /// It was cancelled while running, for more urgent work.
    Cancelled = 4003, Unknown, 503, "It was cancelled for more urgent work after it had begun.";
    /// The ticket expired and the request may have run under it.
    TicketLapsed = 4004, Unknown, 409, "The ticket has lapsed; an earlier sending may have run.";
    /// The claim is held by a daemon that is gone, or its outcome is not known.
    ClaimLost = 4005, Unknown, 409, "Whether this request ran is not known; its claim is another's.";
    /// This sending was refused, and an earlier one may have run.
    EarlierUnknown = 4006, Unknown, 503, "This sending was not run, but an earlier one may have; send it again under the same identity.";

    /// The change was accepted.
    Accepted = 5000, Done, 200, "The change is accepted.";
    /// Another change came first.
    Conflict = 5001, NotRun, 409, "Another change came first; read the configuration and try again.";
    /// The change breaks a check.
    Invalid = 5002, NotRun, 422, "The change breaks a check and was refused whole.";
    /// The service cannot be reached and nothing was written.
    ServiceDown = 5003, NotRun, 503, "The platform's service cannot be reached; nothing was changed.";
    /// The change may have taken effect.
    ChangeUnknown = 5004, Unknown, 503, "Whether the change took is not known; ask for it by its identity.";
    /// The service shows an older configuration than is in force.
    ServiceOlder = 5005, NotRun, 503, "The service shows an older configuration than is in force; see docs/operators/platform-outage.md.";
}

impl Code {
    /// Tells whether the whole answer goes with it, so that a stream may end as a whole one.
    pub const fn is_whole(self) -> bool {
        matches!(self, Self::Complete | Self::EndpointError)
    }

    /// Returns the code's number.
    pub const fn number(self) -> u16 {
        self as u16
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {:?}", self.number(), self)
    }
}
