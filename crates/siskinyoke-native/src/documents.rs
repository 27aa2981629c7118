//! Documents in the store.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::configuration;
use crate::names;
use crate::rollout;
use crate::version_note;
use siskinyoke_dispatch::Configuration;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::rollout::State;
use siskinyoke_interface::Documents;
use siskinyoke_interface::FormatError;
use siskinyoke_interface::RolloutSpec;
use siskinyoke_interface::StoreKeys;
use siskinyoke_interface::check_endpoint;

/// The native documents in the store.
#[derive(Debug, Clone, Copy)]
pub struct NativeDocuments;

/// An endpoint's entry, written by an operator, or by the endpoint itself under a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointEntry {
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// The version of its software; empty if unknown.
    #[serde(default = "empty", skip_serializing_if = "str::is_empty")]
    pub version: Arc<str>,
    /// Its IP address and port.
    pub address: Arc<str>,
    /// The data centre that it runs in; empty if unknown.
    #[serde(default = "empty")]
    pub centre: Arc<str>,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it accepts no new requests.
    #[serde(default)]
    pub draining: bool,
    /// When its process started, in milliseconds of Unix time; 0 if unknown. Observations of an
    /// earlier start are discarded.
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
            rollout_statuses: names::ROLLOUT_STATUS_PREFIX,
            version_notes: names::VERSION_NOTE_PREFIX,
            stream_records: names::STREAM_RECORD_PREFIX,
            quarantines: names::QUARANTINE_PREFIX,
        }
    }

    fn decode_configuration(&self, bytes: &[u8]) -> Result<Configuration, FormatError> {
        configuration::Document::parse(bytes)?.resolve()
    }

    fn decode_endpoint(&self, id: &str, bytes: &[u8]) -> Result<Endpoint, FormatError> {
        let entry: EndpointEntry = serde_json::from_slice(bytes)?;
        check_endpoint(Endpoint {
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

    fn decode_rollout_status(&self, bytes: &[u8]) -> Result<(State, String), FormatError> {
        rollout::decode_status(bytes)
    }

    fn encode_rollout_status(&self, state: State, version: &str) -> Vec<u8> {
        rollout::encode_status(state, version)
    }

    fn decode_version_note(&self, bytes: &[u8]) -> Result<Vec<String>, FormatError> {
        version_note::decode(bytes)
    }

    fn encode_version_note(&self, versions: &[Arc<str>]) -> Vec<u8> {
        version_note::encode(versions)
    }
}

fn empty() -> Arc<str> {
    "".into()
}
