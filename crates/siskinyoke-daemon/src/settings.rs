//! Settings of a daemon, JSON with comments.

mod fields;
mod form;

use std::net::SocketAddr;
use std::path::Path;

use jsonc_parser::ParseOptions;
use jsonc_parser::parse_to_serde_value;
use quick_error::quick_error;
use serde::Deserialize;

use self::fields::FIELDS;
use crate::platform::PlatformSettings;
use siskinyoke_base::DataCentre;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_control::configuration::Fault;
use siskinyoke_control::configuration::SourceFile;
use siskinyoke_control::configuration::join_path;

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
}

impl Default for WorkSettings {
    fn default() -> Self {
        Self {
            run: Millis::from_secs(300),
            connect: Millis::from_secs(1),
            answer: 8 << 20,
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
        /// Something in it is not allowed.
        Faults(path: String, faults: Vec<Fault>) {
            display("{}", lines(path, faults))
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
        Self::check(text).map_err(|faults| SettingsError::Faults(name.to_owned(), faults))
    }

    /// Checks settings as a whole.
    ///
    /// # Errors
    ///
    /// Every fault, in the order of the file.
    pub fn check(text: &str) -> Result<Self, Vec<Fault>> {
        let file = SourceFile::parse(text, OBJECT).map_err(|fault| vec![fault])?;
        let mut faults = form::check(&file, FIELDS);
        if faults.is_empty() {
            let settings = read(text).map_err(|fault| vec![fault])?;
            faults = settings.unreachable(&file);
            if faults.is_empty() {
                return Ok(settings);
            }
        }
        faults.sort_by_key(|fault| fault.line);
        Err(faults)
    }

    /// Finds addresses that a daemon listens on and nobody could connect to.
    ///
    /// Guards against a daemon that listens on every address and tells others `0.0.0.0`: it
    /// would look well, and each of its callers and peers would connect to itself.
    fn unreachable(&self, file: &SourceFile<'_>) -> Vec<Fault> {
        let callers = self.callers.listen.parse::<SocketAddr>();
        let callers = callers.is_ok_and(|address| address.ip().is_unspecified());
        let peers = self.peers.listen.ip().is_unspecified();
        let parts = [
            ("callers", callers && self.callers.address.is_none()),
            ("peers", peers && self.peers.address.is_none()),
        ];
        let wrong = parts.iter().filter(|(_, wrong)| *wrong);
        let fault = |(part, _): &(&str, bool)| {
            let path = join_path(part, "address");
            let found = "nothing, where listen takes every address";
            let mut fault = Fault::new(path, found, "an address that others can connect to");
            fault.line = Some(file.line_of(&join_path(part, "listen")));
            fault
        };
        wrong.map(fault).collect()
    }
}

/// What a settings file has to hold.
const OBJECT: &str = "an object with fields";

/// Tells whether a file is meant as settings rather than as a configuration, by its fields.
pub fn is_settings(text: &str) -> bool {
    let Ok(file) = SourceFile::parse(text, OBJECT) else {
        return false;
    };
    let known = |name: &str| FIELDS.iter().any(|field| field.name == name);
    let names = &file.root().properties;
    names.iter().any(|prop| known(prop.name.as_str()))
}

/// Reads settings whose fields are checked.
fn read(text: &str) -> Result<Settings, Fault> {
    parse_to_serde_value(text, &ParseOptions::default()).map_err(|error| {
        let mut fault = Fault::new("(file)", error.kind().to_string(), "settings");
        fault.line = Some(error.line_display());
        fault
    })
}

fn lines(path: &str, faults: &[Fault]) -> String {
    let lines: Vec<_> = faults
        .iter()
        .map(|fault| format!("{path}: {fault}"))
        .collect();
    lines.join("\n")
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
