//! Numbered result codes, documented in `docs/CODES.md`.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// What a caller may conclude about the execution of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutcomeKind {
    /// The request ran and its response is complete.
    Done,
    /// The request has not run on any endpoint and will not run later.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl OutcomeKind {
    /// Returns the value of the `Siskinyoke-Kind` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for OutcomeKind {
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
            /// All codes, in ascending order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns what a caller may conclude from the code.
            pub const fn kind(self) -> OutcomeKind {
                match self { $(Self::$name => OutcomeKind::$kind,)* }
            }

            /// Returns the HTTP status of responses with the code.
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Returns the message sent to the caller.
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

codes! {
    /// The response is complete.
    Complete = 1000, Done, 200, "The whole answer was given.";
    /// A stream has started; its last event reports the result.
    Streaming = 1001, Unknown, 200, "The stream has begun; only its end says how it went.";
    /// The endpoint ran the request and responded with an error, which is passed on.
    EndpointError = 1003, Done, 502, "The endpoint answered with an error, which is passed on.";

    /// The head or body of the request is malformed.
    Malformed = 2000, NotRun, 400, "The request cannot be read; see the detail for the place.";
    /// The request body exceeds the size limit.
    BodyTooLarge = 2001, NotRun, 413, "The body is over the limit; send less at once.";
    /// The header section exceeds the size limit.
    HeadTooLarge = 2002, NotRun, 431, "The header section is over the limit.";
    /// The request was not received before the read timeout.
    SlowSender = 2003, NotRun, 408, "The request did not arrive in time; send it again.";
    /// The API key is missing or unknown.
    WrongKey = 2005, NotRun, 401, "The key is missing or not known.";
    /// No route matches the path.
    UnknownRoute = 2009, NotRun, 404, "There is no such path here.";

    /// The request was refused on arrival, because it was not expected to complete in time.
    Overloaded = 3000, NotRun, 429, "It could not be answered within its need; come back later.";
    /// The request was removed from the queue in favour of requests of higher priority.
    Shed = 3001, NotRun, 429, "More urgent work took its place; come back later.";
    /// The request waited in the queue until its timeout.
    Late = 3002, NotRun, 503, "It waited past its need and was given up; come back later.";
    /// The organisation's quota is exhausted.
    OverQuota = 3004, NotRun, 429, "The organisation's quota is used up; come back later.";
    /// The instance has no configuration yet, or its configuration may be stale.
    NoConfiguration = 3005, NotRun, 503, "This instance does not know what is in force; use another.";
    /// No endpoint for the request is reachable.
    NoEndpoint = 3006, NotRun, 503, "No endpoint for it can be reached; come back later.";
    /// The content is in quarantine, because endpoints crashed while they processed it.
    Quarantined = 3008, NotRun, 422, "This content crashed endpoints; it is held back for a while.";
    /// An endpoint rejected the request without running it, and no further attempt is allowed.
    Rejected = 3012, NotRun, 503, "The endpoint had no room, and no other may be asked; come back later.";
    /// The version at which the stream began is not known to the instance.
    VersionUnknown = 3013, NotRun, 503, "It is not known which version began the stream; come back later.";
    /// No endpoint is left of the version at which the stream began.
    VersionGone = 3014, NotRun, 503, "No endpoint of the version that began the stream is left; begin anew.";
    /// The instance is shutting down, and the response might not arrive in time.
    ShuttingDown = 3015, NotRun, 503, "This instance is shutting down; use another.";

    /// The connection to the endpoint was lost; the request may have run.
    Broken = 4000, Unknown, 502, "The endpoint broke off; the request may have run.";
    /// The endpoint did not respond in time; the request may have run.
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
