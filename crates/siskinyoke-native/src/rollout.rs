//! Rollout orders and statuses.

use serde::Deserialize;
use serde::Serialize;

use siskinyoke_base::Millis;
use siskinyoke_dispatch::rollout::State;
use siskinyoke_interface::FormatError;
use siskinyoke_interface::RolloutSpec;

/// Maximum duration of a rollout: one day.
const MAX_ROLLOUT_SECONDS: u64 = 86_400;

/// An operator's order to shift a service's traffic to another version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutOrder {
    /// The version to which traffic is shifted.
    pub version: String,
    /// Time allowed for the rollout, in seconds.
    pub seconds: u64,
}

/// The status of a rollout, written by instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutStatus {
    /// The state.
    pub state: RolloutState,
    /// The ordered version.
    pub version: String,
}

/// The state of a rollout, as encoded in documents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    /// The new version is in its canary phase, or traffic is being shifted to it.
    Running,
    /// The new version serves all traffic.
    Completed,
    /// The new version receives no more traffic.
    RolledBack,
}

/// Decodes a rollout order.
///
/// # Errors
///
/// The order is malformed, has no version, or its duration is out of range.
pub fn decode(bytes: &[u8]) -> Result<RolloutSpec, FormatError> {
    let order: RolloutOrder = serde_json::from_slice(bytes)?;
    if order.version.is_empty() {
        return Err(FormatError::InvalidValue(
            "version".into(),
            "give the version of the new endpoints",
        ));
    }
    if !(1..=MAX_ROLLOUT_SECONDS).contains(&order.seconds) {
        return Err(FormatError::InvalidValue(
            "seconds".into(),
            "give 1 to 86400 seconds",
        ));
    }
    Ok(RolloutSpec {
        version: order.version,
        duration: Millis::from_secs(order.seconds),
    })
}

/// Decodes a rollout's status: its state, and the version it applies to.
///
/// # Errors
///
/// The document is malformed.
pub fn decode_status(bytes: &[u8]) -> Result<(State, String), FormatError> {
    let status: RolloutStatus = serde_json::from_slice(bytes)?;
    let state = match status.state {
        RolloutState::Running => State::Running,
        RolloutState::Completed => State::Completed,
        RolloutState::RolledBack => State::RolledBack,
    };
    Ok((state, status.version))
}

/// Encodes a rollout's status: its state, and the version it applies to.
pub fn encode_status(state: State, version: &str) -> Vec<u8> {
    let state = match state {
        State::Running => RolloutState::Running,
        State::Completed => RolloutState::Completed,
        State::RolledBack => RolloutState::RolledBack,
    };
    let status = RolloutStatus {
        state,
        version: version.to_owned(),
    };
    serde_json::json!(status).to_string().into_bytes()
}
