//! The load file, which describes callers, their requests and the phases of a run.

use jsonc_parser::ParseOptions;
use jsonc_parser::parse_to_serde_value;
use serde::Deserialize;

use crate::error::StandinError;
use siskinyoke_base::Millis;

/// Upper bound and default of requests per run: what one machine can send and keep.
const MAX_REQUESTS: usize = 100_000;

/// The parsed load file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadFile {
    /// Seed of all random draws.
    #[serde(default)]
    pub seed: u64,
    /// Target addresses as `host:port`; each request is sent to a random one.
    #[serde(default)]
    pub addresses: Vec<String>,
    /// Request timeout, in milliseconds.
    #[serde(rename = "patience", default = "default_timeout")]
    pub timeout: Millis,
    /// Maximum number of requests in flight; requests due above it are counted but not sent.
    #[serde(rename = "flight", default = "default_concurrency")]
    pub concurrency: usize,
    /// Maximum number of requests in the run.
    #[serde(rename = "most", default = "default_max_requests")]
    pub max_requests: usize,
    /// The callers, each with its share and kind of requests.
    pub callers: Vec<CallerProfile>,
    /// The phases, in order.
    pub phases: Vec<Phase>,
}

/// A caller in the mix and the requests that it sends.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerProfile {
    /// Name in the report, for example organisation and tier.
    pub name: String,
    /// Bearer key sent with each request.
    #[serde(default)]
    pub key: Option<String>,
    /// The requested model.
    pub model: String,
    /// Weight of this caller in the random choice of callers.
    #[serde(default = "one")]
    pub weight: f64,
    /// Minimum and maximum tokens of the part of the prompt that is unique to each request.
    pub prompt: [u32; 2],
    /// Tokens of the prefix that all prompts of this caller share.
    #[serde(default)]
    pub prefix: u32,
    /// Minimum and maximum tokens of the completion.
    pub output: [u32; 2],
    /// Ratio of streaming requests, from 0 to 1.
    #[serde(default = "one")]
    pub stream: f64,
    /// Time within which the caller needs a response, in milliseconds.
    #[serde(rename = "need", default)]
    pub caller_timeout: Option<Millis>,
}

/// A period with a constant request rate.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Name in the report.
    pub name: String,
    /// Duration in milliseconds.
    #[serde(rename = "span")]
    pub duration: Millis,
    /// Requests per second, sent regardless of outstanding responses.
    pub rate: f64,
    /// Names of the callers to draw from; all if omitted.
    #[serde(default)]
    pub callers: Vec<String>,
}

impl LoadFile {
    /// Parses and validates a load file in JSON with comments.
    ///
    /// # Errors
    ///
    /// [`StandinError::File`] with the position of a syntax error or the invalid value.
    pub fn parse(text: &str) -> Result<Self, StandinError> {
        let parsed = parse_to_serde_value(text, &ParseOptions::default());
        let load: Self = parsed.map_err(|err| StandinError::File(err.to_string()))?;
        load.check().map_err(StandinError::File)?;
        Ok(load)
    }

    fn check(&self) -> Result<(), String> {
        if self.callers.is_empty() || self.phases.is_empty() {
            return Err("callers and phases must not be empty".to_owned());
        }
        if self.max_requests > MAX_REQUESTS {
            return Err(format!(
                "most is {}, the limit is {MAX_REQUESTS}",
                self.max_requests
            ));
        }
        for profile in &self.callers {
            profile.check()?;
        }
        self.phases
            .iter()
            .try_for_each(|phase| self.check_phase(phase))
    }

    fn check_phase(&self, phase: &Phase) -> Result<(), String> {
        if !phase.rate.is_finite() || phase.rate < 0.0 {
            return Err(format!("phase {}: rate must be 0 or more", phase.name));
        }
        let known = |name: &String| self.callers.iter().any(|profile| profile.name == *name);
        let unknown = phase.callers.iter().find(|name| !known(name));
        unknown.map_or(Ok(()), |name| {
            Err(format!("phase {}: no caller is named {name}", phase.name))
        })
    }
}

impl CallerProfile {
    fn check(&self) -> Result<(), String> {
        if !self.weight.is_finite() || self.weight <= 0.0 {
            return Err(format!(
                "caller {}: weight must be greater than 0",
                self.name
            ));
        }
        for [min, max] in [self.prompt, self.output] {
            if min > max || min == 0 {
                return Err(format!(
                    "caller {}: lengths must be at least 1, the minimum first",
                    self.name
                ));
            }
        }
        if !(0.0..=1.0).contains(&self.stream) {
            return Err(format!(
                "caller {}: stream must be between 0 and 1",
                self.name
            ));
        }
        Ok(())
    }
}

fn default_timeout() -> Millis {
    Millis::from_secs(30)
}

fn default_concurrency() -> usize {
    256
}

fn default_max_requests() -> usize {
    MAX_REQUESTS
}

fn one() -> f64 {
    1.0
}
