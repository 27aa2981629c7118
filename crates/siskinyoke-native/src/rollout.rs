//! Orders to move a service's traffic to another version, and their states.

use serde::Deserialize;
use serde::Serialize;

use siskinyoke_base::Millis;
use siskinyoke_dispatch::rollout::State;
use siskinyoke_interface::FormatError;
use siskinyoke_interface::RolloutSpec;

/// The longest time that an order may give, in seconds.
const MAX_ROLLOUT_SECONDS: u64 = 86_400;

/// An operator's order, kept under its service's name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutOrder {
    /// The version that traffic is to move to.
    pub version: String,
    /// How long the move may take, in seconds.
    pub seconds: u64,
}

/// How far an order has come, written by instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutStatus {
    /// The state.
    pub state: RolloutState,
    /// The version that was ordered.
    pub version: String,
}

/// The state of an order, as it stands in documents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutState {
    /// The new version is on trial, or traffic is moving to it.
    Running,
    /// The new version is in force.
    Completed,
    /// The new version gets nothing more.
    RolledBack,
}

/// Decodes an order.
///
/// # Errors
///
/// What is wrong with it.
pub fn decode(bytes: &[u8]) -> Result<RolloutSpec, FormatError> {
    let order: RolloutOrder = serde_json::from_slice(bytes)?;
    if order.version.is_empty() {
        return Err(FormatError::InvalidValue(
            "version".into(),
            "name the version of the new endpoints",
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

/// Decodes a state, with its version.
///
/// # Errors
///
/// What is wrong with it.
pub fn decode_state(bytes: &[u8]) -> Result<(State, String), FormatError> {
    let status: RolloutStatus = serde_json::from_slice(bytes)?;
    let state = match status.state {
        RolloutState::Running => State::Running,
        RolloutState::Completed => State::Completed,
        RolloutState::RolledBack => State::RolledBack,
    };
    Ok((state, status.version))
}

/// Encodes a state.
pub fn encode_state(state: State, version: &str) -> Vec<u8> {
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
