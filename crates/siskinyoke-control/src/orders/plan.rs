//! What a pool's endpoints should run, and how that differs from what they do run.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::Order;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Millis;
use siskinyoke_base::ModelId;

/// What the endpoints of a pool should run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolPlan {
    /// The state wanted of each endpoint; an endpoint left out gets no orders.
    #[serde(default)]
    pub endpoints: BTreeMap<EndpointId, EndpointState>,
    /// How many endpoints may load from the weight store at once.
    #[serde(default = "usual_loads")]
    pub loads: usize,
    /// The longest that one order may take, in milliseconds.
    #[serde(default = "usual_limit")]
    pub limit: Millis,
}

/// What an endpoint runs, or should run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EndpointState {
    /// Models by name.
    pub models: BTreeMap<ModelId, ModelState>,
    /// Its part in serving.
    pub role: EngineRole,
}

/// A model on an endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelState {
    /// Version of its weights.
    pub version: String,
    /// Versions of its adapters by name.
    #[serde(default)]
    pub adapters: BTreeMap<String, String>,
}

/// An engine's part in serving a request.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineRole {
    /// Prompt and answer.
    #[default]
    Whole,
    /// The prompt only.
    Prefill,
    /// The answer only.
    Decode,
}

impl EndpointState {
    /// Returns the next order that brings this state nearer to the one wanted.
    ///
    /// What is not wanted goes first, as an engine may not have room for both.
    pub fn next_order(&self, wanted: &Self) -> Option<Order> {
        self.surplus(wanted)
            .or_else(|| self.missing(wanted))
            .or_else(|| {
                let role = wanted.role;
                (self.role != role).then_some(Order::Role { role })
            })
    }

    fn surplus(&self, wanted: &Self) -> Option<Order> {
        for (model, state) in &self.models {
            let Some(target) = wanted.models.get(model) else {
                let model = model.clone();
                return Some(Order::Unload { model });
            };
            let kept = |name: &&String| target.adapters.contains_key(*name);
            if let Some(adapter) = state.adapters.keys().find(|name| !kept(name)) {
                return Some(Order::UnloadAdapter {
                    model: model.clone(),
                    adapter: adapter.clone(),
                });
            }
        }
        None
    }

    fn missing(&self, wanted: &Self) -> Option<Order> {
        for (model, target) in &wanted.models {
            let state = self.models.get(model);
            let Some(state) = state.filter(|state| state.version == target.version) else {
                return Some(Order::Load {
                    model: model.clone(),
                    version: target.version.clone(),
                });
            };
            let loaded = |(name, version): &(&String, &String)| {
                state.adapters.get(*name).is_some_and(|at| at == *version)
            };
            if let Some((adapter, version)) = target.adapters.iter().find(|pair| !loaded(pair)) {
                return Some(Order::LoadAdapter {
                    model: model.clone(),
                    adapter: adapter.clone(),
                    version: version.clone(),
                });
            }
        }
        None
    }
}

fn usual_loads() -> usize {
    2
}

fn usual_limit() -> Millis {
    Millis::from_secs(60)
}
