//! Settings of a daemon, JSON with comments.

use std::net::SocketAddr;
use std::path::Path;

use jsonc_parser::ParseOptions;
use jsonc_parser::parse_to_serde_value;
use quick_error::quick_error;
use serde::Deserialize;

use crate::platform::PlatformSettings;
use siskinyoke_base::DataCentre;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;

/// Everything a daemon is told at its start.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The instance's name.
    pub instance: InstanceId,
    /// The instance's data centre.
    pub centre: DataCentre,
    /// Where callers and operators connect.
    pub callers: CallerSettings,
    /// Where the other instances connect.
    pub peers: PeerSettings,
    /// Where the platform is.
    pub platform: PlatformSettings,
    /// Bounds on requests in flight.
    #[serde(default)]
    pub work: WorkSettings,
}

/// The listener for callers and its limits.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// Address to listen on, `host:port`.
    pub listen: String,
    /// Address that callers are told, if other than the one listened on.
    #[serde(default)]
    pub address: Option<String>,
    /// The most connections at once.
    #[serde(default = "usual_connections")]
    pub connections: usize,
    /// The most bytes of a header section.
    #[serde(default = "usual_head")]
    pub head: usize,
    /// The most bytes of a body.
    #[serde(default = "usual_body")]
    pub body: usize,
    /// The most time for a request's head and body to arrive, each, in milliseconds.
    #[serde(default = "usual_patience")]
    pub patience: Millis,
}

/// The listener for the other instances.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Address to listen on, `ip:port`, over UDP.
    pub listen: SocketAddr,
    /// Address that peers are told, if other than the one listened on.
    #[serde(default)]
    pub address: Option<String>,
    /// Instances to contact before the platform's list is known.
    #[serde(default)]
    pub seeds: Vec<SeedSettings>,
}

/// An instance to contact first.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SeedSettings {
    /// The instance's name.
    pub instance: InstanceId,
    /// Its data centre.
    pub centre: DataCentre,
    /// Its address for peers, `ip:port`.
    pub peer: String,
    /// Its address for callers.
    pub caller: String,
}

/// Bounds on requests in flight.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorkSettings {
    /// The most time that one dispatch may take, in milliseconds.
    pub run: Millis,
    /// The most time to wait for a connection to an endpoint, in milliseconds.
    pub connect: Millis,
    /// The most bytes of an answer that is not streamed.
    pub answer: usize,
    /// The most time that a leaving daemon waits for requests in progress, in milliseconds.
    pub drain: Millis,
}

impl Default for WorkSettings {
    fn default() -> Self {
        Self {
            run: Millis::from_secs(300),
            connect: Millis::from_secs(1),
            answer: 8 << 20,
            drain: Millis::from_secs(900),
        }
    }
}

quick_error! {
    /// Settings that cannot be used.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file cannot be read.
        Read(path: String, err: std::io::Error) {
            display("{path}: cannot be read: {err}; hint: name the file with --settings")
            source(err)
        }
        /// The text is not JSON with comments.
        Syntax(path: String, detail: String) {
            display("{path}: {detail}")
        }
        /// A field is missing, unknown or of the wrong type.
        Field(path: String, detail: String) {
            display("{path}: {detail}")
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] says what was found and what is allowed.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let name = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|err| SettingsError::Read(name.clone(), err))?;
        Self::parse(&name, &text)
    }

    /// Reads and checks settings from their text; `name` stands in errors.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] says what was found and what is allowed.
    pub fn parse(name: &str, text: &str) -> Result<Self, SettingsError> {
        let value: serde_json::Value = parse_to_serde_value(text, &ParseOptions::default())
            .map_err(|err| SettingsError::Syntax(name.to_owned(), err.to_string()))?;
        serde_json::from_value(value)
            .map_err(|err| SettingsError::Field(name.to_owned(), err.to_string()))
    }
}

fn usual_connections() -> usize {
    1024
}

fn usual_head() -> usize {
    16 << 10
}

fn usual_body() -> usize {
    4 << 20
}

fn usual_patience() -> Millis {
    Millis::from_secs(10)
}
