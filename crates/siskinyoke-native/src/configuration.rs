//! The operators' configuration document and its presets.

use std::collections::BTreeMap;
use std::sync::Arc;

use jsonc_parser::ParseOptions;
use jsonc_parser::parse_to_serde_value;
use serde::Deserialize;
use serde::Serialize;

use crate::names;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::CallerLimits;
use siskinyoke_dispatch::Configuration;
use siskinyoke_dispatch::Organisation;
use siskinyoke_dispatch::Route;
use siskinyoke_dispatch::RouteKind;
use siskinyoke_dispatch::Service;
use siskinyoke_interface::FormatError;

/// The configuration document, written by operators as JSON with comments.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Revision number, incremented with each change.
    pub revision: u64,
    /// Name of the active preset.
    pub preset: String,
    /// Presets by name.
    pub presets: BTreeMap<String, Preset>,
    /// Names of the priority tiers, highest priority first.
    pub tiers: Vec<String>,
    /// Routes: which requests are served, and how.
    pub routes: Vec<RouteRow>,
    /// Organisations that may send requests, by name.
    pub organisations: BTreeMap<String, OrganisationRow>,
    /// Size limits and timeouts for callers.
    #[serde(default)]
    pub limits: LimitsRow,
}

/// A preset: changes to the document that operators can activate by name.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// Tiers whose requests are refused.
    #[serde(default)]
    pub closed: Vec<String>,
    /// Factors applied to quotas, by organisation; 1 if absent.
    #[serde(default)]
    pub shares: BTreeMap<String, f64>,
}

/// A route: which requests it matches and how they are served.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRow {
    /// The model of chat requests; excludes `path`.
    pub model: Option<String>,
    /// The path of requests to a plain service, starting with its name: `portal/marks/`.
    pub path: Option<String>,
    /// Services that serve it, with their weights.
    pub services: BTreeMap<Arc<str>, u32>,
    /// The priority tier.
    pub tier: String,
    /// Whether a request may run more than once.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether a stream may be resumed at another endpoint.
    #[serde(default)]
    pub resume: bool,
    /// Maximum total duration of a request, in ms.
    pub timeout_ms: u64,
    /// Latency target for the complete response, or for the first event of a stream, in ms.
    pub objective_ms: u64,
    /// Target for the longest gap between two events of a stream, in ms.
    #[serde(default)]
    pub gap_ms: u64,
    /// Maximum number of endpoints one request may be sent to.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// Whether requests need no API key.
    #[serde(default)]
    pub open: bool,
}

/// An organisation: its API keys, priority and quota.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationRow {
    /// Digests of its API keys; `siskinyoke key` creates a key and its digest.
    pub keys: Vec<String>,
    /// The priority tier; takes precedence over the tier of the route.
    pub tier: Option<String>,
    /// Quota units per second over all instances; zero means unlimited.
    #[serde(default)]
    pub rate: f64,
    /// Quota units that may be used at once after an idle period.
    #[serde(default)]
    pub burst: f64,
    /// Whether quota units are tokens; otherwise they are requests.
    #[serde(default)]
    pub tokens: bool,
}

/// Size limits and timeouts for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitsRow {
    /// Maximum size of a request head, in bytes.
    pub head: usize,
    /// Maximum size of a request body, in bytes.
    pub body: usize,
    /// Time within which a body that is needed to find the route must arrive, in ms.
    pub arrival_ms: u64,
    /// How long a connection may stay idle between requests, in ms.
    pub idle_ms: u64,
}

impl Default for LimitsRow {
    fn default() -> Self {
        Self {
            head: 64 * 1024,
            // Large requests, such as a week's timetable or a long composition, take some hundred
            // kilobytes.
            body: 4 * 1024 * 1024,
            arrival_ms: 10_000,
            idle_ms: 60_000,
        }
    }
}

impl Document {
    /// Parses a configuration document.
    ///
    /// # Errors
    ///
    /// The text is not valid JSON with comments, or a field is missing, unknown or of the wrong
    /// type.
    pub fn parse(bytes: &[u8]) -> Result<Self, FormatError> {
        let text = String::from_utf8_lossy(bytes);
        let value: serde_json::Value = parse_to_serde_value(&text, &ParseOptions::default())
            .map_err(|err| FormatError::Syntax(err.to_string()))?;
        Ok(serde_json::from_value(value)?)
    }

    /// Validates the document and returns the configuration with the active preset applied.
    ///
    /// # Errors
    ///
    /// The first inconsistency found. The document must not be used in part.
    pub fn resolve(&self) -> Result<Configuration, FormatError> {
        let preset = self.presets.get(&self.preset);
        let preset =
            preset.ok_or_else(|| unknown_name("preset", &self.preset, "not defined in presets"))?;
        self.check_presets()?;
        let mut configuration = Configuration::new(self.revision, self.limits.decode());
        for row in &self.routes {
            self.add_route(&mut configuration, row, preset)?;
        }
        for (name, row) in &self.organisations {
            let share = preset.shares.get(name).copied().unwrap_or(1.0);
            let organisation = Organisation {
                name: name.as_str().into(),
                priority: row
                    .tier
                    .as_ref()
                    .map(|tier| self.priority(tier))
                    .transpose()?,
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
                    return Err(unknown_name(
                        &field,
                        organisation,
                        "not defined in organisations",
                    ));
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
        let tier_priority = self.priority(&row.tier)?;
        let closed = preset.closed.contains(&row.tier);
        if row.services.values().all(|weight| *weight == 0) {
            let field = format!("routes, tier {}", row.tier);
            return Err(FormatError::InvalidValue(
                field,
                "give a service with a weight above 0",
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
            priority: tier_priority,
            targets: if closed {
                Vec::new()
            } else {
                row.services.clone().into_iter().collect()
            },
            max_attempts: row.attempts.max(1),
            auth_exempt: row.open,
            resumable: row.resume,
        };
        let kind = if row.idempotent {
            RouteKind::Safe
        } else {
            RouteKind::Unsafe
        };
        match (&row.model, &row.path) {
            (Some(model), None) => {
                let prefix = names::model_path(model, false);
                configuration.add_route(ANY_HOST, route(model, prefix, kind));
                let prefix = names::model_path(model, true);
                configuration.add_route(ANY_HOST, route(model, prefix, RouteKind::Stream));
            }
            (None, Some(path)) => {
                let path = path.trim_matches('/');
                let prefix = format!("{}{path}/", names::SERVICE_PATH);
                configuration.add_route(ANY_HOST, route(path, prefix, kind));
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
        let index = self.tiers.iter().position(|it| it == tier);
        index
            .and_then(|index| u8::try_from(index).ok())
            .ok_or_else(|| unknown_name("tier", tier, "not defined in tiers"))
    }
}

impl LimitsRow {
    fn decode(self) -> CallerLimits {
        CallerLimits {
            max_head: self.head,
            max_body: self.body,
            head_timeout: Millis(self.arrival_ms),
            keepalive_timeout: Millis(self.idle_ms),
        }
    }
}

/// The host under which all routes are stored, as this interface does not route by host.
pub const ANY_HOST: &str = "";

/// Quota cost of a request that states no token counts; about a page of text.
const DEFAULT_COST_TOKENS: f64 = 1_000.0;

fn unknown_name(field: &str, name: &str, hint: &'static str) -> FormatError {
    FormatError::InvalidValue(format!("{field}: {name}"), hint)
}

fn default_attempts() -> u32 {
    2
}
