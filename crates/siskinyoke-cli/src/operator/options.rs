//! Options that every change takes.

use clap::Args;
use rand::RngCore;

/// Options that every change takes.
#[derive(Debug, Default, Args)]
pub struct ChangeOptions {
    /// Make the change only if this revision is in force.
    #[arg(long)]
    pub revision: Option<u64>,
    /// The change's identity, to send an earlier change again; drawn if left out.
    #[arg(long)]
    pub id: Option<String>,
    /// The rank of a tier, which only its own command sets.
    #[arg(skip)]
    rank: Option<u64>,
}

impl ChangeOptions {
    /// Returns the identity given, or draws one.
    pub fn identity(&self) -> String {
        self.id
            .clone()
            .unwrap_or_else(|| format!("{:016x}", rand::rng().next_u64()))
    }

    /// Returns the options with the rank of a tier.
    pub fn with_rank(&self, rank: Option<u64>) -> Self {
        Self {
            revision: self.revision,
            id: self.id.clone(),
            rank,
        }
    }

    /// Returns the query that goes with the change.
    pub fn query(&self) -> String {
        let pairs = [("revision", self.revision), ("rank", self.rank)];
        let given = pairs.iter().filter_map(|(name, value)| {
            let value = (*value)?;
            Some(format!("{name}={value}"))
        });
        let given: Vec<String> = given.collect();
        if given.is_empty() {
            return String::new();
        }
        format!("?{}", given.join("&"))
    }
}
