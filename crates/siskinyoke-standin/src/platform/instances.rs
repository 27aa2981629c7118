//! The instance list, which shows what was set some time ago.

use std::collections::VecDeque;

use jsonc_parser::ParseOptions;
use jsonc_parser::parse_to_serde_value;
use serde::Deserialize;
use serde::Serialize;

use crate::error::StandinError;
use siskinyoke_base::Millis;

/// One line of the instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceLine {
    /// The instance.
    pub instance: String,
    /// Its data centre.
    pub centre: String,
    /// Address for peers.
    pub peer: String,
    /// Address for callers.
    pub caller: String,
    /// Whether the platform is taking it away.
    #[serde(default)]
    pub leaving: bool,
}

/// Reads an instance list from JSON with comments.
///
/// # Errors
///
/// [`StandinError::File`] with the place.
pub fn parse_instances(text: &str) -> Result<Vec<InstanceLine>, StandinError> {
    let parsed = parse_to_serde_value(text, &ParseOptions::default());
    parsed.map_err(|err| StandinError::File(err.to_string()))
}

/// The instance list with its lag.
#[derive(Debug, Default)]
pub struct InstanceList {
    lag: Millis,
    settings: VecDeque<(Millis, Vec<InstanceLine>)>,
}

impl InstanceList {
    /// Sets how late the list shows a change.
    pub fn set_lag(&mut self, lag: Millis) {
        self.lag = lag;
    }

    /// Sets the list.
    pub fn set(&mut self, now: Millis, lines: Vec<InstanceLine>) {
        self.settings.push_back((now, lines));
    }

    /// Returns the list as it stood before the lag.
    pub fn shown(&self, now: Millis) -> &[InstanceLine] {
        let mut past = self.settings.iter().rev();
        let seen = past.find(|(at, _)| *at + self.lag <= now);
        seen.map_or(&[], |(_, lines)| lines.as_slice())
    }
}
