//! The configuration as operators write it, and the preset in force.

use std::collections::BTreeMap;
use std::sync::Arc;

use jsonc_parser::ParseOptions;
use jsonc_parser::parse_to_serde_value;
use serde::Deserialize;
use serde::Serialize;

use crate::names;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Configuration;
use siskinyoke_dispatch::Kind;
use siskinyoke_dispatch::Limits;
use siskinyoke_dispatch::Organisation;
use siskinyoke_dispatch::Route;
use siskinyoke_dispatch::Service;
use siskinyoke_interface::FormatError;

/// The configuration as operators write it: JSON with comments.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Counted up by one with each change.
    pub revision: u64,
    /// The preset in force.
    pub preset: String,
    /// Every preset by name.
    pub presets: BTreeMap<String, Preset>,
    /// The tiers of work, the most urgent first.
    pub tiers: Vec<String>,
    /// Which requests are served, and how.
    pub routes: Vec<RouteRow>,
    /// Who may call.
    pub organisations: BTreeMap<String, OrganisationRow>,
    /// Limits on callers.
    #[serde(default)]
    pub limits: LimitsRow,
}

/// What a preset changes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// Tiers whose work is turned away.
    #[serde(default)]
    pub closed: Vec<String>,
    /// By organisation, the part of its quota that it has.
    #[serde(default)]
    pub shares: BTreeMap<String, f64>,
}

/// One kind of requests and how they are served.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRow {
    /// The model of chat requests; or else `path`.
    pub model: Option<String>,
    /// The path of a plain service's requests, below its name: `portal/marks/`.
    pub path: Option<String>,
    /// The services that serve it, with weights.
    pub services: BTreeMap<Arc<str>, u32>,
    /// Its tier.
    pub tier: String,
    /// Whether it may run more than once.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether its streams can go on at another endpoint.
    #[serde(default)]
    pub resume: bool,
    /// How long a request may take in all, in ms.
    pub timeout_ms: u64,
    /// The latency objective: to the whole answer, or to a stream's first event, in ms.
    pub objective_ms: u64,
    /// The longest pause between events of a stream that is on time, in ms.
    #[serde(default)]
    pub gap_ms: u64,
    /// The most endpoints that one request may be sent to.
    #[serde(default = "two")]
    pub attempts: u32,
    /// Whether no key is needed.
    #[serde(default)]
    pub open: bool,
}

/// One organisation: its keys and what it may use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationRow {
    /// Digests of its keys; `siskinyoke key` makes both.
    pub keys: Vec<String>,
    /// The tier that goes before its routes' own.
    pub tier: Option<String>,
    /// What it may use a second over all instances; nothing is no limit.
    #[serde(default)]
    pub rate: f64,
    /// What it may use at once after a pause.
    #[serde(default)]
    pub burst: f64,
    /// Whether rate and burst count tokens; else requests.
    #[serde(default)]
    pub tokens: bool,
}

/// Limits on callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitsRow {
    /// The longest head, in bytes.
    pub head: usize,
    /// The longest body, in bytes.
    pub body: usize,
    /// How long a request that is needed whole may take to arrive, in ms.
    pub arrival_ms: u64,
    /// How long a connection may stay open between requests, in ms.
    pub idle_ms: u64,
}

impl Default for LimitsRow {
    fn default() -> Self {
        Self {
            head: 64 * 1024,
            // A week's timetable or a long composition takes some hundred kilobytes.
            body: 4 * 1024 * 1024,
            arrival_ms: 10_000,
            idle_ms: 60_000,
        }
    }
}

impl Document {
    /// Reads a configuration; nothing of a faulty one is used.
    ///
    /// # Errors
    ///
    /// Where it is not JSON with comments, or which field is wrong.
    pub fn parse(bytes: &[u8]) -> Result<Self, FormatError> {
        let text = String::from_utf8_lossy(bytes);
        let value: serde_json::Value = parse_to_serde_value(&text, &ParseOptions::default())
            .map_err(|err| FormatError::Syntax(err.to_string()))?;
        Ok(serde_json::from_value(value)?)
    }

    /// Checks it whole and returns what is in force under its preset.
    ///
    /// # Errors
    ///
    /// The first thing that does not fit together.
    pub fn resolve(&self) -> Result<Configuration, FormatError> {
        let preset = self.presets.get(&self.preset);
        let preset = preset.ok_or_else(|| unknown_name("preset", &self.preset, "see presets"))?;
        self.check_presets()?;
        let mut configuration = Configuration::new(self.revision, self.limits.decode());
        for row in &self.routes {
            self.add_route(&mut configuration, row, preset)?;
        }
        for (name, row) in &self.organisations {
            let share = preset.shares.get(name).copied().unwrap_or(1.0);
            let organisation = Organisation {
                name: name.as_str().into(),
                priority: row.tier.as_ref().map(|it| self.priority(it)).transpose()?,
                rate: row.rate * share,
                burst: row.burst * share,
                counts_tokens: row.tokens,
                default_cost: DEFAULT_COST_TOKENS,
            };
            configuration.add_organisation(organisation, &row.keys);
        }
        Ok(configuration)
    }

    fn check_presets(&self) -> Result<(), FormatError> {
        for (name, preset) in &self.presets {
            for tier in &preset.closed {
                self.priority(tier)?;
            }
            for (organisation, share) in &preset.shares {
                if !self.organisations.contains_key(organisation) {
                    let field = format!("presets.{name}.shares");
                    return Err(unknown_name(&field, organisation, "see organisations"));
                }
                if !(0.0..=100.0).contains(share) {
                    let field = format!("presets.{name}.shares.{organisation}");
                    return Err(FormatError::InvalidValue(field, "give 0 to 100"));
                }
            }
        }
        Ok(())
    }

    fn add_route(
        &self,
        configuration: &mut Configuration,
        row: &RouteRow,
        preset: &Preset,
    ) -> Result<(), FormatError> {
        let rank = self.priority(&row.tier)?;
        let closed = preset.closed.contains(&row.tier);
        if row.services.values().all(|weight| *weight == 0) {
            let field = format!("routes, tier {}", row.tier);
            return Err(FormatError::InvalidValue(
                field,
                "name a service with a weight",
            ));
        }
        for service in row.services.keys() {
            configuration.add_service(Service {
                name: service.clone(),
                max_connections: usize::MAX,
            });
        }
        let route = |name: &str, prefix: String, kind| Route {
            name: name.into(),
            prefix: prefix.into(),
            kind,
            timeout: Millis(row.timeout_ms),
            latency_target: Millis(row.objective_ms),
            gap_target: Millis(row.gap_ms),
            priority: rank,
            targets: if closed {
                Vec::new()
            } else {
                row.services.clone().into_iter().collect()
            },
            max_attempts: row.attempts.max(1),
            auth_exempt: row.open,
            resumable: row.resume,
        };
        let plain = if row.idempotent {
            Kind::Safe
        } else {
            Kind::Unsafe
        };
        match (&row.model, &row.path) {
            (Some(model), None) => {
                let prefix = names::model_path(model, false);
                configuration.add_route(ANY_HOST, route(model, prefix, plain));
                let prefix = names::model_path(model, true);
                configuration.add_route(ANY_HOST, route(model, prefix, Kind::Stream));
            }
            (None, Some(path)) => {
                let path = path.trim_matches('/');
                let prefix = format!("{}{path}/", names::SERVICE_PATH);
                configuration.add_route(ANY_HOST, route(path, prefix, plain));
            }
            _ => {
                let field = format!("routes, tier {}", row.tier);
                return Err(FormatError::InvalidValue(
                    field,
                    "give either model or path",
                ));
            }
        }
        Ok(())
    }

    fn priority(&self, tier: &str) -> Result<u8, FormatError> {
        let at = self.tiers.iter().position(|it| it == tier);
        at.and_then(|at| u8::try_from(at).ok())
            .ok_or_else(|| unknown_name("tier", tier, "see tiers"))
    }
}

impl LimitsRow {
    fn decode(self) -> Limits {
        Limits {
            max_head: self.head,
            max_body: self.body,
            head_timeout: Millis(self.arrival_ms),
            keepalive_timeout: Millis(self.idle_ms),
        }
    }
}

/// Routes of this interface do not look at the host.
pub const ANY_HOST: &str = "";

/// Tokens of a request that names none: about a page of text.
const DEFAULT_COST_TOKENS: f64 = 1_000.0;

fn unknown_name(field: &str, name: &str, hint: &'static str) -> FormatError {
    FormatError::InvalidValue(format!("{field}: {name}"), hint)
}

fn two() -> u32 {
    2
}
