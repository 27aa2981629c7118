//! What the store holds, by key.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::configuration;
use crate::names;
use crate::rollout;
use siskinyoke_dispatch::Configuration;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::rollout::State;
use siskinyoke_interface::Documents;
use siskinyoke_interface::FormatError;
use siskinyoke_interface::RolloutSpec;
use siskinyoke_interface::StoreKeys;

/// What the store holds, by key.
#[derive(Debug, Clone, Copy)]
pub struct NativeDocuments;

/// An endpoint's entry, written by operators or by the endpoint itself under a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointEntry {
    /// The service that it serves.
    pub service: Arc<str>,
    /// The version of its software, where it says.
    #[serde(default = "nothing", skip_serializing_if = "str::is_empty")]
    pub version: Arc<str>,
    /// Its IP address and port.
    pub address: Arc<str>,
    /// Its data centre.
    #[serde(default = "nothing")]
    pub centre: Arc<str>,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    #[serde(default)]
    pub draining: bool,
    /// The start of its process in Unix ms, where it is known; another start forgets the past.
    #[serde(rename = "born", default)]
    pub started_ms: u64,
}

impl Documents for NativeDocuments {
    fn keys(&self) -> StoreKeys {
        StoreKeys {
            configuration: names::CONFIGURATION_KEY,
            endpoints: names::ENDPOINT_PREFIX,
            instances: names::INSTANCE_PREFIX,
            rollout_orders: names::ROLLOUT_ORDER_PREFIX,
            rollout_states: names::ROLLOUT_STATE_PREFIX,
        }
    }

    fn decode_configuration(&self, bytes: &[u8]) -> Result<Configuration, FormatError> {
        configuration::Document::parse(bytes)?.resolve()
    }

    fn decode_endpoint(&self, id: &str, bytes: &[u8]) -> Result<Endpoint, FormatError> {
        let entry: EndpointEntry = serde_json::from_slice(bytes)?;
        if entry.slots == 0 {
            return Err(FormatError::InvalidValue("slots".into(), "give 1 or more"));
        }
        Ok(Endpoint {
            id: id.into(),
            started_ms: entry.started_ms,
            service: entry.service,
            version: entry.version,
            address: entry.address,
            centre: entry.centre,
            slots: entry.slots,
            draining: entry.draining,
        })
    }

    fn decode_rollout_order(&self, _: &str, bytes: &[u8]) -> Result<RolloutSpec, FormatError> {
        rollout::decode(bytes)
    }

    fn decode_rollout_state(&self, bytes: &[u8]) -> Result<(State, String), FormatError> {
        rollout::decode_state(bytes)
    }

    fn encode_rollout_state(&self, state: State, version: &str) -> Vec<u8> {
        rollout::encode_state(state, version)
    }
}

fn nothing() -> Arc<str> {
    "".into()
}
