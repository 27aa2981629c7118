//! The policies that are measured side by side.

use clap::ValueEnum;

use crate::plain::Plain;
use crate::plain::Rule;
use siskinyoke_policy::Adaptive;
use siskinyoke_policy::Scheduler;

/// A policy to measure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Rival {
    /// The product.
    Adaptive,
    /// The product without capacity leases: equal local limits.
    LocalLimits,
    /// Round robin with a plain queue.
    RoundRobin,
    /// Least load by stale reports.
    LeastLoad,
    /// Two random choices.
    TwoChoices,
    /// One owner instance for each endpoint.
    OneOwner,
}

impl Rival {
    /// Every policy, the product first.
    pub const ALL: [Self; 6] = [
        Self::Adaptive,
        Self::LocalLimits,
        Self::RoundRobin,
        Self::LeastLoad,
        Self::TwoChoices,
        Self::OneOwner,
    ];

    /// Returns its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Adaptive => "siskinyoke",
            Self::LocalLimits => "local limits",
            Self::RoundRobin => "round robin",
            Self::LeastLoad => "least load",
            Self::TwoChoices => "two choices",
            Self::OneOwner => "one owner",
        }
    }

    /// Makes one instance's policy.
    pub fn make(self, seed: u64, instances: u32) -> Box<dyn Scheduler> {
        match self {
            Self::Adaptive | Self::LocalLimits => Box::new(Adaptive::new(seed, instances)),
            Self::RoundRobin => Box::new(Plain::new(Rule::RoundRobin, seed, instances)),
            Self::LeastLoad => Box::new(Plain::new(Rule::LeastLoad, seed, instances)),
            Self::TwoChoices => Box::new(Plain::new(Rule::TwoChoices, seed, instances)),
            Self::OneOwner => Box::new(Plain::new(Rule::Owner, seed, instances)),
        }
    }

    /// Tells whether instances hold capacity leases.
    pub fn leases(self) -> bool {
        self == Self::Adaptive
    }

    /// Tells whether work goes to the owner of an endpoint.
    pub fn owners(self) -> bool {
        self == Self::OneOwner
    }
}
