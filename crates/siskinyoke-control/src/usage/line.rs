//! One line of usage: its key, its counters, and the causes of waste.

use serde::Deserialize;
use serde::Serialize;

use siskinyoke_base::ModelId;
use siskinyoke_base::OrganisationId;
use siskinyoke_base::TierName;

/// What a line counts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LineKey {
    /// Who is charged.
    pub organisation: OrganisationId,
    /// The tier.
    pub tier: TierName,
    /// The model or service.
    pub model: ModelId,
}

impl LineKey {
    /// Returns an upper bound of the size of a line with this key as stored, in bytes.
    pub fn size(&self) -> usize {
        let names = [
            self.organisation.as_str(),
            self.tier.as_str(),
            self.model.as_str(),
        ];
        let text: usize = names.iter().map(|name| name.len() + 5).sum();
        text + COUNTERS * 10
    }
}

/// Counters in a line.
const COUNTERS: usize = 3 + Cause::ALL.len();

/// Why prompt work was thrown away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Refused or given up after it had begun, as when its need had passed.
    Refused,
    /// The endpoint or the connection to it broke.
    Broken,
    /// It was cancelled, for more urgent work or by its caller.
    Cancelled,
    /// It crashed the endpoint, or was in flight when another content did.
    Poison,
}

impl Cause {
    /// Every cause, in the order of the counters.
    pub const ALL: [Self; 4] = [Self::Refused, Self::Broken, Self::Cancelled, Self::Poison];

    /// Returns the cause's name.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Broken => "broken",
            Self::Cancelled => "cancelled",
            Self::Poison => "poison",
        }
    }
}

/// The counters of a line; each only grows within one daemon start and day.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Complete answers charged.
    pub requests: u64,
    /// Prompt tokens charged.
    pub prompt: u64,
    /// Output tokens charged.
    pub output: u64,
    /// Prompt tokens computed and thrown away, by cause; they are not charged.
    wasted: [u64; 4],
}

impl Line {
    /// Returns the prompt tokens wasted by a cause.
    pub fn wasted(&self, cause: Cause) -> u64 {
        self.wasted[cause as usize]
    }

    /// Counts one complete answer, in tokens.
    pub fn charge(&mut self, prompt: u64, output: u64) {
        self.requests += 1;
        self.prompt += prompt;
        self.output += output;
    }

    /// Counts wasted prompt tokens.
    pub fn waste(&mut self, cause: Cause, prompt: u64) {
        self.wasted[cause as usize] += prompt;
    }

    /// Merges another copy of the same writer's line by taking the larger of each counter.
    ///
    /// Guards against a write that took effect though its answer was lost, and against two peers
    /// that write for the same dead writer: a sum would charge twice, the larger changes nothing.
    pub fn merge(&mut self, other: &Self) {
        for (mine, theirs) in self.counters().into_iter().zip(other.values()) {
            *mine = (*mine).max(theirs);
        }
    }

    /// Adds the line of another writer.
    pub fn add(&mut self, other: &Self) {
        for (mine, theirs) in self.counters().into_iter().zip(other.values()) {
            *mine += theirs;
        }
    }

    fn counters(&mut self) -> [&mut u64; COUNTERS] {
        let [refused, broken, cancelled, poison] = &mut self.wasted;
        [
            &mut self.requests,
            &mut self.prompt,
            &mut self.output,
            refused,
            broken,
            cancelled,
            poison,
        ]
    }

    fn values(&self) -> [u64; COUNTERS] {
        let [refused, broken, cancelled, poison] = self.wasted;
        let charged = [self.requests, self.prompt, self.output];
        let [requests, prompt, output] = charged;
        [requests, prompt, output, refused, broken, cancelled, poison]
    }
}
