//! What became of a change.

use super::Fault;
use siskinyoke_base::Code;

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It is accepted and will never be reverted.
    Accepted {
        /// The revision that it made.
        revision: u64,
    },
    /// Another change came first; this one changed nothing and never will.
    Conflict {
        /// The revision that was found.
        revision: u64,
    },
    /// It breaks checks; nothing was written.
    Invalid {
        /// Every fault.
        faults: Vec<Fault>,
    },
    /// The operator may not make it; nothing was written.
    Forbidden,
    /// Its identity belongs to another change; nothing was written.
    Reused,
    /// Too many changes wait here; nothing was written.
    Busy,
    /// The service cannot be reached; nothing was changed.
    ServiceDown,
    /// The service shows an older or another configuration than is in force; nothing was changed.
    ServiceOlder {
        /// The revision that it shows.
        shown: u64,
        /// The highest revision seen.
        highest: u64,
    },
    /// Whether it took is not known.
    Unknown {
        /// The revision that it would follow.
        base: u64,
    },
}

impl Outcome {
    /// Returns the result code.
    pub fn code(&self) -> Code {
        match self {
            Self::Accepted { .. } => Code::Accepted,
            Self::Conflict { .. } => Code::Conflict,
            Self::Invalid { .. } => Code::Invalid,
            Self::Forbidden => Code::Forbidden,
            Self::Reused => Code::KeyReused,
            Self::Busy => Code::Overloaded,
            Self::ServiceDown => Code::ServiceDown,
            Self::ServiceOlder { .. } => Code::ServiceOlder,
            Self::Unknown { .. } => Code::ChangeUnknown,
        }
    }
}
