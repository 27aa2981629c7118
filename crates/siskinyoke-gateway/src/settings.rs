//! Settings of an instance: JSON with comments, validated before the instance starts.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use jsonc_parser::ParseOptions;
use jsonc_parser::parse_to_serde_value;
use quick_error::quick_error;
use serde::Deserialize;

use siskinyoke_base::Millis;
use siskinyoke_dispatch::organisation_shares::share_weights::WeightSource;
use siskinyoke_dispatch::report::InstanceLocation;
use siskinyoke_interface::Interface;

quick_error! {
    /// An error in a settings file.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file cannot be read.
        Read(err: std::io::Error) {
            display("file cannot be read: {err} (does the file exist, and may this user read it?)")
            source(err)
            from()
        }
        /// The file is not valid JSON with comments.
        Syntax(text: String) {
            display("file is not valid JSON with comments: {text}")
        }
        /// A field is missing, unknown or of the wrong type.
        Field(err: serde_json::Error) {
            display("{err} (see docs/operators/on-the-platform.md for every field)")
            source(err)
            from()
        }
        /// Fields with values out of range, each with a hint at the valid ones.
        InvalidValues(faults: Vec<(&'static str, &'static str)>) {
            display("{}", format_faults(faults))
        }
    }
}

/// Request bodies may use the memory limit divided by this; the rest is for connections and
/// responses.
const BODY_MEMORY_DIVISOR: usize = 4;

/// The memory of a process without clients.
const BASE_MEMORY_MB: u64 = 16;

/// The part of the memory for clients that large responses may use. The rest keeps the usual ones
/// from waiting for it.
const LARGE_RESPONSE_RATIO: f64 = 0.75;

/// The addresses on which an instance listens.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For requests of callers.
    pub callers: SocketAddr,
    /// For readiness checks.
    pub health: SocketAddr,
    /// For queries of the instance directory.
    pub directory: SocketAddr,
    /// For peers, over TCP and UDP.
    pub peers: SocketAddr,
}

/// Limits that apply to the instances as a whole.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time from the signal to stop to the kill, in seconds.
    pub grace_s: f64,
    /// Maximum ratio of retries to a service's requests.
    pub retry_ratio: f64,
    /// Retries allowed beyond that ratio in ten seconds.
    pub retry_slack: f64,
    /// Window over which quotas are measured, in seconds.
    pub quota_window_s: f64,
    /// Fraction by which a quota may be exceeded.
    pub quota_overage: f64,
    /// Quota units by which a quota may be exceeded beyond that fraction.
    pub quota_slack: f64,
    /// Maximum time for which callers cache a directory response, in seconds.
    pub keep_s: f64,
    /// Maximum share of a service's requests that a canary version may receive.
    #[serde(default = "default_exposure_share")]
    pub exposure_share: f64,
    /// Time from the end of a disturbance until changes must take effect as fast as usual, in ms.
    #[serde(default = "default_settle_ms")]
    pub settle_ms: u64,
}

/// Limits on what clients may make an instance hold.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClientBounds {
    /// Fraction of the memory beyond that of a process without clients.
    pub memory_ratio: f64,
    /// Longest time for which a client may leave a response unread, in seconds.
    pub unread_s: f64,
}

impl Default for ClientBounds {
    fn default() -> Self {
        Self {
            memory_ratio: 0.5,
            unread_s: 10.0,
        }
    }
}

/// The protocols spoken with callers, endpoints, operators and the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InterfaceKind {
    /// The product's native protocols.
    #[default]
    Own,
    /// The protocols of the users' platform.
    Platform,
}

impl InterfaceKind {
    /// Creates the interface that implements these protocols.
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
    /// The protocols spoken with callers, endpoints, operators and the store; read only at startup.
    #[serde(default)]
    pub interface: InterfaceKind,
    /// The instance's name.
    pub instance: String,
    /// Its IP address.
    pub ip: std::net::IpAddr,
    /// Its data centre.
    pub centre: String,
    /// The addresses on which it listens.
    pub listen: Listen,
    /// Peer addresses of some other instances, which may no longer exist.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The port of its metrics page.
    pub metrics: u16,
    /// Its memory limit, in MB.
    pub memory_mb: u64,
    /// The weights by which slots that are short are divided between organisations: `rates`,
    /// `equal`, or `off`; read only at startup.
    #[serde(default)]
    pub shares: WeightSource,
    /// Limits on what clients may make this instance hold.
    #[serde(default)]
    pub clients: ClientBounds,
    /// Limits that apply to the instances as a whole.
    pub bounds: Bounds,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it, with the field and a hint.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&fs::read_to_string(path)?)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it, with the field and a hint.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let value: serde_json::Value = parse_to_serde_value(text, &ParseOptions::default())
            .map_err(|err| SettingsError::Syntax(err.to_string()))?;
        let settings: Self = serde_json::from_value(value)?;
        settings.validate()?;
        Ok(settings)
    }

    /// Returns the instance's addresses and data centre.
    pub fn location(&self) -> InstanceLocation {
        InstanceLocation {
            caller_address: self.listen.callers.to_string(),
            peer_address: self.listen.peers.to_string(),
            centre: self.centre.clone(),
        }
    }

    /// Returns the memory that request bodies may use, in bytes.
    pub fn body_memory_bytes(&self) -> usize {
        bytes_of(self.memory_mb) / BODY_MEMORY_DIVISOR
    }

    /// Returns the memory that clients may make this instance hold, in bytes: at least that for
    /// request bodies.
    pub fn client_memory_bytes(&self) -> usize {
        let bytes = bytes_of(self.memory_mb.saturating_sub(BASE_MEMORY_MB));
        fraction_of(bytes, self.clients.memory_ratio).max(self.body_memory_bytes())
    }

    /// Returns the part of it that responses may use that are larger than the usual ones, in bytes.
    pub fn response_memory_bytes(&self) -> usize {
        fraction_of(self.client_memory_bytes(), LARGE_RESPONSE_RATIO)
    }

    /// Returns the longest time for which a client may leave a response unread.
    pub fn unread_timeout(&self) -> Millis {
        millis_from_seconds(self.clients.unread_s)
    }

    /// Returns the time from the signal to stop to the kill.
    pub fn grace_period(&self) -> Millis {
        millis_from_seconds(self.bounds.grace_s)
    }

    /// Returns the window over which quotas are measured.
    pub fn quota_window(&self) -> Millis {
        millis_from_seconds(self.bounds.quota_window_s)
    }

    /// Returns the maximum time for which callers cache a directory response.
    pub fn directory_ttl(&self) -> Millis {
        millis_from_seconds(self.bounds.keep_s)
    }

    // Reports all invalid values at once, so that a file can be corrected in one edit.
    fn validate(&self) -> Result<(), SettingsError> {
        let bounds = &self.bounds;
        let rules = [
            (
                !self.instance.is_empty(),
                "instance",
                "give each instance a unique name",
            ),
            (
                self.memory_mb >= 16,
                "memory_mb",
                "an instance needs 16 MB or more",
            ),
            (
                (0.1..=0.9).contains(&self.clients.memory_ratio),
                "clients.memory_ratio",
                "give a fraction from 0.1 to 0.9",
            ),
            (
                (1.0..=3600.0).contains(&self.clients.unread_s),
                "clients.unread_s",
                "give 1 to 3600 seconds",
            ),
            (
                (1.0..=3600.0).contains(&bounds.grace_s),
                "bounds.grace_s",
                "give 1 to 3600 seconds",
            ),
            (
                (0.0..=1.0).contains(&bounds.retry_ratio),
                "bounds.retry_ratio",
                "give a fraction from 0 to 1",
            ),
            (
                (0.0..=1e6).contains(&bounds.retry_slack),
                "bounds.retry_slack",
                "give 0 or more",
            ),
            (
                (1.0..=3600.0).contains(&bounds.quota_window_s),
                "bounds.quota_window_s",
                "give 1 to 3600 seconds",
            ),
            (
                (0.0..=1.0).contains(&bounds.quota_overage),
                "bounds.quota_overage",
                "give a fraction from 0 to 1",
            ),
            (
                (0.0..=1e12).contains(&bounds.quota_slack),
                "bounds.quota_slack",
                "give 0 or more units",
            ),
            (
                (0.1..=3600.0).contains(&bounds.keep_s),
                "bounds.keep_s",
                "give 0.1 to 3600 seconds",
            ),
            (
                (0.0..=1.0).contains(&bounds.exposure_share),
                "bounds.exposure_share",
                "give a fraction from 0 to 1",
            ),
            (
                (100..=3_600_000).contains(&bounds.settle_ms),
                "bounds.settle_ms",
                "give 100 to 3600000 ms",
            ),
        ];
        let broken_rules = rules.into_iter().filter(|rule| !rule.0);
        let faults: Vec<_> = broken_rules.map(|(_, field, hint)| (field, hint)).collect();
        if faults.is_empty() {
            return Ok(());
        }
        Err(SettingsError::InvalidValues(faults))
    }
}

fn default_exposure_share() -> f64 {
    0.1
}

fn default_settle_ms() -> u64 {
    3_000
}

fn format_faults(faults: &[(&str, &str)]) -> String {
    let descriptions: Vec<String> = faults
        .iter()
        .map(|(field, hint)| format!("'{field}' cannot be used: {hint}"))
        .collect();
    descriptions.join("; ")
}

fn bytes_of(megabytes: u64) -> usize {
    usize::try_from(megabytes.saturating_mul(1024 * 1024)).unwrap_or(usize::MAX)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "a fraction of a number of bytes, which need not be exact"
)]
fn fraction_of(bytes: usize, ratio: f64) -> usize {
    (bytes as f64 * ratio) as usize
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "validated to be at most an hour"
)]
#[expect(clippy::cast_sign_loss, reason = "validated to be positive")]
fn millis_from_seconds(seconds: f64) -> Millis {
    Millis((seconds * 1000.0) as u64)
}
