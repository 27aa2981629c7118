//! Weights of organisations when slots are divided between them.

use std::sync::Arc;

use serde::Deserialize;

use crate::Organisation;
use crate::report::short_hash;
use siskinyoke_base::Map;

/// Where the weights come from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WeightSource {
    /// The organisations' configured rates; one without a limit has the mean of the others.
    #[default]
    Rates,
    /// All organisations have the same weight.
    Equal,
    /// Slots are not divided.
    Off,
}

/// Weights of organisations, by the hash of their names.
#[derive(Debug)]
pub struct ShareWeights {
    weights: Map<u32, f64>,
    // The weight of organisations without a rate, or that are not configured here yet.
    mean: f64,
}

impl Default for ShareWeights {
    fn default() -> Self {
        Self {
            weights: Map::default(),
            mean: 1.0,
        }
    }
}

impl ShareWeights {
    /// Returns the weights of configured organisations.
    ///
    /// Rates in tokens and rates in requests cannot be compared: if there are both, all weights are
    /// equal.
    pub fn new(source: WeightSource, organisations: &[Arc<Organisation>]) -> Self {
        let limited: Vec<_> = organisations.iter().filter(|it| it.rate > 0.0).collect();
        let comparable = limited
            .windows(2)
            .all(|pair| pair[0].counts_tokens == pair[1].counts_tokens);
        if source != WeightSource::Rates || limited.is_empty() || !comparable {
            return Self::default();
        }
        let count = f64::from(u32::try_from(limited.len()).unwrap_or(u32::MAX));
        let sum: f64 = limited.iter().map(|it| it.rate).sum();
        let rows = limited.iter().map(|it| (short_hash(&it.name), it.rate));
        Self {
            weights: rows.collect(),
            mean: sum / count,
        }
    }

    /// Returns the weight of an organisation.
    pub fn of(&self, organisation: u32) -> f64 {
        let weight = self.weights.get(&organisation);
        weight.copied().unwrap_or(self.mean)
    }
}
