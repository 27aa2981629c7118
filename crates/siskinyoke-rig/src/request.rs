//! One request of a load and what became of it.

use siskinyoke_base::CallClass;
use siskinyoke_base::Code;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Millis;
use siskinyoke_base::ModelId;
use siskinyoke_base::OrganisationId;
use siskinyoke_policy::Work;
use siskinyoke_policy::WorkId;

/// Tokens in one block of a prompt.
pub const BLOCK: u32 = 64;

/// A request with its true sizes.
#[derive(Debug, Clone)]
pub struct Request {
    /// Who sends it.
    pub organisation: OrganisationId,
    /// The instance that it is sent to, by number.
    pub instance: usize,
    /// Rank of its tier.
    pub rank: u8,
    /// Whether its tier is protected.
    pub protected: bool,
    /// When it is sent.
    pub arrived: Millis,
    /// Time to a useful answer.
    pub need: Millis,
    /// Whether the need is for the first piece.
    pub stream: bool,
    /// How often it may be dispatched.
    pub class: CallClass,
    /// The model or service.
    pub target: ModelId,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the answer.
    pub output: u32,
    /// Tokens of the answer as the policy estimates them.
    pub estimate: u32,
    /// Chained digests of the prompt's blocks.
    pub prefix: Vec<u64>,
}

impl Request {
    /// Returns until when the answer is useful.
    pub fn deadline(&self) -> Millis {
        self.arrived + self.need
    }

    /// Returns the request as a policy sees it.
    pub fn work(&self, id: usize, avoid: Vec<EndpointId>) -> Work {
        Work {
            id: WorkId(id as u64),
            organisation: self.organisation.clone(),
            rank: self.rank,
            protected: self.protected,
            arrived: self.arrived,
            deadline: self.deadline(),
            stream: self.stream,
            target: self.target.clone(),
            prompt: self.prompt,
            output: self.estimate,
            prefix: self.prefix.clone(),
            class: self.class,
            apart: false,
            avoid,
        }
    }
}

/// What became of a request.
#[derive(Debug, Clone, Default)]
pub struct Fate {
    /// When it was first dispatched.
    pub started: Option<Millis>,
    /// How often it was dispatched.
    pub runs: u32,
    /// When its first piece reached the instance.
    pub first: Option<Millis>,
    /// When its answer was whole.
    pub done: Option<Millis>,
    /// When and why it was refused.
    pub refused: Option<(Millis, Code)>,
    /// Prompt tokens computed for it, over all runs.
    pub computed: f64,
    /// Of these, the tokens of runs that were cut off.
    pub thrown: f64,
}

impl Fate {
    /// Tells whether a whole answer came within the need.
    pub fn useful(&self, request: &Request) -> bool {
        let Some(done) = self.done else {
            return false;
        };
        let counted = if request.stream {
            self.first.unwrap_or(done)
        } else {
            done
        };
        counted <= request.deadline()
    }
}
