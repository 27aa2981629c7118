//! The documents that operators write.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::orders::PoolPlan;
use siskinyoke_base::CallClass;
use siskinyoke_base::DataCentre;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Millis;
use siskinyoke_base::ModelId;
use siskinyoke_base::OrganisationId;
use siskinyoke_base::TierName;

/// A whole configuration, as one file or as the sum of its pages.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConfigurationDoc {
    /// The preset in force.
    pub preset: String,
    /// Tiers, the most urgent first.
    pub tiers: Vec<TierDoc>,
    /// Presets by name.
    pub presets: BTreeMap<String, PresetDoc>,
    /// Endpoints by name.
    pub endpoints: BTreeMap<EndpointId, EndpointDoc>,
    /// Organisations by name.
    pub organisations: BTreeMap<OrganisationId, OrganisationDoc>,
    /// Operators by name.
    pub operators: BTreeMap<String, OperatorDoc>,
    /// What the engines of each pool should run; an engine is in one pool at most.
    pub pools: BTreeMap<String, PoolPlan>,
}

/// A tier of work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierDoc {
    /// Its name.
    pub name: TierName,
    /// Whether its work may be shed only after all work of later tiers.
    #[serde(default)]
    pub protected: bool,
    /// Time to a useful answer in milliseconds: the first piece of a stream, the whole otherwise.
    pub need: Millis,
}

/// A preset.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PresetDoc {
    /// What it says of each tier; a tier left out is open without a reserve.
    #[serde(default)]
    pub tiers: BTreeMap<TierName, TierPreset>,
    /// How much wasted prefill weighs against goodput, from 0 to 1.
    pub prefill: f64,
    /// The most that any share may shift a second, in parts of 1.
    pub shift: f64,
    /// The most requests that may wait in one daemon.
    pub queue: u32,
}

/// What a preset says of one tier.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierPreset {
    /// Share of endpoint slots kept free for this tier and those above, in parts of 1.
    #[serde(default)]
    pub reserve: f64,
    /// Whether the tier is let in at all.
    #[serde(default = "yes")]
    pub open: bool,
    /// Share of requests that are to be answered within their need, in parts of 1.
    #[serde(default = "usual_objective")]
    pub objective: f64,
}

/// What an endpoint is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A server of a plain service.
    Service,
}

/// What an endpoint does with an order that carries an old fencing number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// It refuses the order.
    Enforced,
    /// It ignores the number.
    #[default]
    Ignored,
}

/// An endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointDoc {
    /// Its address, `host:port`.
    pub address: String,
    /// Its data centre.
    pub centre: DataCentre,
    /// What it is.
    pub kind: EndpointKind,
    /// Models or services that it offers.
    pub targets: Vec<ModelId>,
    /// The most requests to have on it at once, over all instances.
    pub slots: u32,
    /// Tokens a second for one request, before anything is learned; for a service, calls.
    #[serde(default = "usual_speed")]
    pub speed: u32,
    /// Prompt tokens a second, before anything is learned.
    #[serde(default = "usual_prefill")]
    pub prefill: u32,
    /// What it does with old fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
    /// Whether it can resume a broken stream.
    #[serde(default)]
    pub resume: bool,
    /// Whether it is leaving and gets nothing new.
    #[serde(default)]
    pub leaving: bool,
}

/// An organisation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationDoc {
    /// Digests (BLAKE3, hexadecimal) of the bearer keys that name it.
    pub keys: Vec<String>,
    /// Its share against other organisations of the same tier.
    #[serde(default = "usual_weight")]
    pub weight: u32,
    /// The most tokens a second it may use, if limited.
    #[serde(default)]
    pub allowance: Option<u32>,
    /// What it may call; the first route that fits decides.
    pub routes: Vec<RouteDoc>,
}

/// What an organisation may call, and how.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteDoc {
    /// The model or service.
    pub target: ModelId,
    /// The HTTP method, for a service; any if left out.
    #[serde(default)]
    pub method: Option<String>,
    /// What the path must begin with, for a service; any if left out.
    #[serde(default)]
    pub path: Option<String>,
    /// How often a request may reach an endpoint.
    #[serde(default)]
    pub class: CallClass,
    /// The tier.
    pub tier: TierName,
    /// Time to a useful answer in milliseconds, if other than the tier's.
    #[serde(default)]
    pub need: Option<Millis>,
}

/// What an operator may do; a later role may do all that an earlier one may.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Reads.
    Viewer,
    /// Switches presets and drains endpoints.
    Operator,
    /// Changes everything.
    Administrator,
}

/// An operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorDoc {
    /// Digest (BLAKE3, hexadecimal) of the operator's bearer key.
    pub key: String,
    /// What the operator may do.
    pub role: Role,
}

fn yes() -> bool {
    true
}

fn usual_objective() -> f64 {
    0.95
}

fn usual_speed() -> u32 {
    30
}

fn usual_prefill() -> u32 {
    2_000
}

fn usual_weight() -> u32 {
    1
}
