//! The load file: what is sent, how often and for how long.

use jsonc_parser::ParseOptions;
use jsonc_parser::parse_to_serde_value;
use serde::Deserialize;

use crate::error::StandinError;
use siskinyoke_base::Millis;

/// Most requests of one run, unless the file says less: what one machine can send and keep.
const MAX_REQUESTS: usize = 100_000;

/// A load, as its file describes it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadFile {
    /// Seed of everything that is drawn.
    #[serde(default)]
    pub seed: u64,
    /// Addresses `host:port`; each request goes to one of them, drawn at random.
    #[serde(default)]
    pub addresses: Vec<String>,
    /// The most time for one request, in milliseconds.
    #[serde(rename = "patience", default = "default_timeout")]
    pub timeout: Millis,
    /// The most requests in flight; those due beyond it are counted as held back.
    #[serde(rename = "flight", default = "default_concurrency")]
    pub concurrency: usize,
    /// The most requests of the whole run.
    #[serde(rename = "most", default = "default_max_requests")]
    pub max_requests: usize,
    /// Who sends what.
    pub callers: Vec<CallerProfile>,
    /// The phases, one after another.
    pub phases: Vec<Phase>,
}

/// One kind of work within the mix.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerProfile {
    /// Name in the report, for instance the organisation and the tier.
    pub name: String,
    /// The bearer key.
    #[serde(default)]
    pub key: Option<String>,
    /// The model asked for.
    pub model: String,
    /// How often it is drawn beside the others.
    #[serde(default = "one")]
    pub weight: f64,
    /// Fewest and most tokens of the prompt that no two requests share.
    pub prompt: [u32; 2],
    /// Tokens that all prompts of the kind begin with.
    #[serde(default)]
    pub prefix: u32,
    /// Fewest and most tokens of the answer.
    pub output: [u32; 2],
    /// Share of requests that stream, in parts of 1.
    #[serde(default = "one")]
    pub stream: f64,
    /// Time to a useful answer that is asked for, in milliseconds.
    #[serde(rename = "need", default)]
    pub caller_timeout: Option<Millis>,
}

/// A stretch of time with one rate.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Name in the report.
    pub name: String,
    /// How long it lasts, in milliseconds.
    #[serde(rename = "span")]
    pub duration: Millis,
    /// Requests a second, sent whether or not earlier ones were answered.
    pub rate: f64,
    /// The kinds of work that are drawn from; all if left out.
    #[serde(default)]
    pub callers: Vec<String>,
}

impl LoadFile {
    /// Reads a load from JSON with comments.
    ///
    /// # Errors
    ///
    /// [`StandinError::File`] with the place, or what does not fit together.
    pub fn parse(text: &str) -> Result<Self, StandinError> {
        let parsed = parse_to_serde_value(text, &ParseOptions::default());
        let load: Self = parsed.map_err(|err| StandinError::File(err.to_string()))?;
        load.check().map_err(StandinError::File)?;
        Ok(load)
    }

    fn check(&self) -> Result<(), String> {
        if self.callers.is_empty() || self.phases.is_empty() {
            return Err("callers and phases may not be empty".to_owned());
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
            Err(format!("phase {}: no caller is called {name}", phase.name))
        })
    }
}

impl CallerProfile {
    fn check(&self) -> Result<(), String> {
        if !self.weight.is_finite() || self.weight <= 0.0 {
            return Err(format!("caller {}: weight must be over 0", self.name));
        }
        for [min, max] in [self.prompt, self.output] {
            if min > max || min == 0 {
                return Err(format!(
                    "caller {}: lengths must be 1 or more, the lesser first",
                    self.name
                ));
            }
        }
        if !(0.0..=1.0).contains(&self.stream) {
            return Err(format!("caller {}: stream must lie in 0 to 1", self.name));
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
