//! A unit of work as the policy sees it.

use siskinyoke_base::CallClass;
use siskinyoke_base::Millis;
use siskinyoke_base::ModelId;
use siskinyoke_base::OrganisationId;

/// Numbers one piece of work within a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkId(pub u64);

/// What the policy needs to know of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Work {
    /// Its number.
    pub id: WorkId,
    /// Who is charged for it.
    pub organisation: OrganisationId,
    /// Rank of its tier; 0 is the most urgent.
    pub rank: u8,
    /// Whether it may be shed only after all lower tiers.
    pub protected: bool,
    /// Time of arrival.
    pub arrived: Millis,
    /// Until when the answer is useful: the first token for streams, the whole for others.
    pub deadline: Millis,
    /// Whether the deadline is for the first piece of a stream rather than the whole answer.
    pub stream: bool,
    /// The model or service.
    pub target: ModelId,
    /// Estimated prompt tokens.
    pub prompt: u32,
    /// Estimated answer tokens.
    pub output: u32,
    /// Chained digests of the prompt's leading blocks.
    pub prefix: Vec<u64>,
    /// How often it may be dispatched.
    pub class: CallClass,
    /// Whether it is suspected of crashing endpoints and must run apart from others.
    pub apart: bool,
    /// Endpoints that have failed it; tried last.
    pub avoid: Vec<siskinyoke_base::EndpointId>,
}

impl Work {
    /// Tells whether it may be cancelled in flight and run again.
    pub fn repeatable(&self) -> bool {
        self.class == CallClass::Idempotent
    }

    /// Returns its estimated cost in tokens, prompt and answer together.
    pub fn cost(&self) -> u64 {
        u64::from(self.prompt) + u64::from(self.output)
    }
}
