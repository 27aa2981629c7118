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
    /// No key, or one that is not known.
    WrongKey = 2005, NotRun, 401, "The key is missing or not known.";
    /// The route is not known.
    UnknownRoute = 2009, NotRun, 404, "There is no such path here.";

    /// It could not finish in time, so it was refused at once.
    Overloaded = 3000, NotRun, 429, "It could not be answered within its need; come back later.";
    /// It waited and was shed for more urgent work.
    Shed = 3001, NotRun, 429, "More urgent work took its place; come back later.";
    /// It waited past its need.
    Late = 3002, NotRun, 503, "It waited past its need and was given up; come back later.";
    /// The organisation's quota is used up.
    OverQuota = 3004, NotRun, 429, "The organisation's quota is used up; come back later.";
    /// No configuration is known yet, or it may be out of date.
    NoConfiguration = 3005, NotRun, 503, "This instance does not know what is in force; use another.";
    /// No endpoint is there for it.
    NoEndpoint = 3006, NotRun, 503, "No endpoint for it can be reached; come back later.";
    /// The content was involved in crashes of endpoints.
    Quarantined = 3008, NotRun, 422, "This content crashed endpoints; it is held back for a while.";
    /// An endpoint turned it away unrun, and no other may be asked.
    Rejected = 3012, NotRun, 503, "The endpoint had no room, and no other may be asked; come back later.";

    /// The endpoint broke off and it may have run.
    Broken = 4000, Unknown, 502, "The endpoint broke off; the request may have run.";
    /// The endpoint took too long and it may have run.
    TimedOut = 4001, Unknown, 504, "The endpoint took too long; the request may have run.";
}

impl Code {
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
