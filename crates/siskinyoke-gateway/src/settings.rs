//! The settings of an instance: JSON with comments, checked before anything starts.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use jsonc_parser::ParseOptions;
use jsonc_parser::parse_to_serde_value;
use quick_error::quick_error;
use serde::Deserialize;

use siskinyoke_base::Millis;
use siskinyoke_dispatch::report::InstanceLocation;
use siskinyoke_interface::Interface;

quick_error! {
    /// What is wrong with a settings file.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file cannot be read.
        Read(err: std::io::Error) {
            display("cannot be read: {err} (does the file exist, and may this user read it?)")
            source(err)
            from()
        }
        /// It is not JSON with comments.
        Syntax(text: String) {
            display("is not JSON with comments: {text}")
        }
        /// A field is missing, unknown or of another type.
        Field(err: serde_json::Error) {
            display("{err} (see docs/operators/on-the-platform.md for every field)")
            source(err)
            from()
        }
        /// Values lie outside what can work; each with what to give instead.
        InvalidValues(faults: Vec<(&'static str, &'static str)>) {
            display("{}", format_faults(faults))
        }
    }
}

/// Where an instance listens.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For questions whether it takes callers.
    pub health: SocketAddr,
    /// For questions which instances to use.
    pub directory: SocketAddr,
    /// For its peers, over TCP and UDP.
    pub peers: SocketAddr,
}

/// Bounds that all instances keep together.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// The time from the signal to stop to a kill, in seconds.
    pub grace_s: f64,
    /// The part of a service's requests that may be sent again.
    pub retry_ratio: f64,
    /// Retries allowed beside that part in ten seconds.
    pub retry_slack: f64,
    /// The window over which quotas are measured, in seconds.
    pub quota_window_s: f64,
    /// The part by which a quota may be exceeded.
    pub quota_overage: f64,
    /// Units by which a quota may be exceeded besides.
    pub quota_slack: f64,
    /// The longest that callers keep a directory's answer, in seconds.
    pub keep_s: f64,
    /// The part of a service's requests that a version on trial may get.
    #[serde(default = "usual_exposure")]
    pub exposure_share: f64,
    /// The time from the end of a disturbance until changes must be in force as usual, in ms.
    #[serde(default = "usual_settle")]
    pub settle_ms: u64,
}

/// How callers, endpoints, operators and the store are spoken to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InterfaceKind {
    /// The product's own form.
    #[default]
    Own,
    /// The users' platform.
    Platform,
}

impl InterfaceKind {
    /// Returns the interface that speaks this way.
    pub fn build(self) -> Interface {
        match self {
            Self::Own => siskinyoke_native::interface(),
            Self::Platform => siskinyoke_platform::interface(),
        }
    }
}

/// The settings of an instance.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// How callers, endpoints, operators and the store are spoken to; fixed for a process.
    #[serde(default)]
    pub interface: InterfaceKind,
    /// Its name.
    pub instance: String,
    /// Its IP address.
    pub ip: std::net::IpAddr,
    /// Its data centre.
    pub centre: String,
    /// Where it listens.
    pub listen: Listen,
    /// Where some other instances listen for peers; they may be gone.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// The port of its metrics page.
    pub metrics: u16,
    /// The memory it may use, in MB.
    pub memory_mb: u64,
    /// Bounds that all instances keep together.
    pub bounds: Bounds,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// What is wrong with it, with the field and a hint.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&fs::read_to_string(path)?)
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// What is wrong with it, with the field and a hint.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let value: serde_json::Value = parse_to_serde_value(text, &ParseOptions::default())
            .map_err(|err| SettingsError::Syntax(err.to_string()))?;
        let settings: Self = serde_json::from_value(value)?;
        settings.validate()?;
        Ok(settings)
    }

    /// Returns where this instance is found.
    pub fn location(&self) -> InstanceLocation {
        InstanceLocation {
            caller_address: self.listen.callers.to_string(),
            peer_address: self.listen.peers.to_string(),
            centre: self.centre.clone(),
        }
    }

    /// Returns the time from the signal to stop to a kill.
    pub fn grace_period(&self) -> Millis {
        millis_from_seconds(self.bounds.grace_s)
    }

    /// Returns the window over which quotas are measured.
    pub fn quota_window(&self) -> Millis {
        millis_from_seconds(self.bounds.quota_window_s)
    }

    /// Returns the longest that callers keep a directory's answer.
    pub fn directory_ttl(&self) -> Millis {
        millis_from_seconds(self.bounds.keep_s)
    }

    // Tells every fault at once, so that a file is mended in one go.
    fn validate(&self) -> Result<(), SettingsError> {
        let it = &self.bounds;
        let rules = [
            (
                !self.instance.is_empty(),
                "instance",
                "give each instance a name of its own",
            ),
            (
                self.memory_mb >= 16,
                "memory_mb",
                "an instance needs 16 MB or more",
            ),
            (
                (1.0..=3600.0).contains(&it.grace_s),
                "bounds.grace_s",
                "give 1 to 3600 seconds",
            ),
            (
                (0.0..=1.0).contains(&it.retry_ratio),
                "bounds.retry_ratio",
                "give a part from 0 to 1",
            ),
            (
                (0.0..=1e6).contains(&it.retry_slack),
                "bounds.retry_slack",
                "give 0 or more",
            ),
            (
                (1.0..=3600.0).contains(&it.quota_window_s),
                "bounds.quota_window_s",
                "give 1 to 3600 seconds",
            ),
            (
                (0.0..=1.0).contains(&it.quota_overage),
                "bounds.quota_overage",
                "give a part from 0 to 1",
            ),
            (
                (0.0..=1e12).contains(&it.quota_slack),
                "bounds.quota_slack",
                "give 0 or more units",
            ),
            (
                (0.1..=3600.0).contains(&it.keep_s),
                "bounds.keep_s",
                "give 0.1 to 3600 seconds",
            ),
            (
                (0.0..=1.0).contains(&it.exposure_share),
                "bounds.exposure_share",
                "give a part from 0 to 1",
            ),
            (
                (100..=3_600_000).contains(&it.settle_ms),
                "bounds.settle_ms",
                "give 100 to 3600000 ms",
            ),
        ];
        let broken = rules.into_iter().filter(|rule| !rule.0);
        let faults: Vec<_> = broken.map(|(_, field, hint)| (field, hint)).collect();
        if faults.is_empty() {
            return Ok(());
        }
        Err(SettingsError::InvalidValues(faults))
    }
}

fn usual_exposure() -> f64 {
    0.1
}

fn usual_settle() -> u64 {
    3_000
}

fn format_faults(faults: &[(&str, &str)]) -> String {
    let texts: Vec<String> = faults
        .iter()
        .map(|(field, hint)| format!("'{field}' cannot be used: {hint}"))
        .collect();
    texts.join("; ")
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "checked to lie below an hour"
)]
#[expect(clippy::cast_sign_loss, reason = "checked to be positive")]
fn millis_from_seconds(value: f64) -> Millis {
    Millis((value * 1000.0) as u64)
}
