//! Documents in the store: configuration, endpoints, instances and rollouts.

use std::fmt::Debug;
use std::sync::Arc;

use crate::FormatError;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Configuration;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::rollout::State;

/// The kind of a stored item, determined by its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemKind<'a> {
    /// The operators' configuration.
    Configuration,
    /// The entry of the endpoint with this ID.
    Endpoint(&'a str),
    /// The entry of the instance with this name.
    Instance(&'a str),
    /// The order to roll out another version of this service.
    RolloutOrder(&'a str),
    /// The status of this service's rollout.
    RolloutStatus(&'a str),
    /// The note of this service's versions.
    VersionNote(&'a str),
    /// Records of the versions at which streams began.
    StreamRecords,
    /// Records of requests in quarantine.
    Quarantines,
    /// Any other item; it is ignored.
    Other,
}

/// Keys and key prefixes of the documents in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreKeys {
    /// The key of the operators' configuration.
    pub configuration: &'static str,
    /// The prefix of endpoint entries, followed by the endpoint's ID.
    pub endpoints: &'static str,
    /// The prefix of instance entries, followed by the instance's name.
    pub instances: &'static str,
    /// The prefix of rollout orders, followed by the service's name.
    pub rollout_orders: &'static str,
    /// The prefix of rollout statuses, followed by the service's name.
    pub rollout_statuses: &'static str,
    /// The prefix of notes of services' versions, followed by the service's name.
    pub version_notes: &'static str,
    /// The prefix of records of streams, followed by the name, process and write of an instance.
    pub stream_records: &'static str,
    /// The prefix of records of requests in quarantine, followed by the name, process and write of an
    /// instance.
    pub quarantines: &'static str,
}

/// A rollout as an operator ordered it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutSpec {
    /// The version to which traffic is shifted.
    pub version: String,
    /// Time allowed for the rollout.
    pub duration: Millis,
}

/// Keys and formats of the documents in the store.
pub trait Documents: Debug {
    /// Returns the keys and key prefixes of the documents.
    fn keys(&self) -> StoreKeys;

    /// Determines the kind of an item from its key.
    fn item_kind<'a>(&self, key: &'a str) -> ItemKind<'a> {
        let keys = self.keys();
        if key == keys.configuration {
            return ItemKind::Configuration;
        }
        if let Some(id) = key.strip_prefix(keys.endpoints) {
            return ItemKind::Endpoint(id);
        }
        if let Some(name) = key.strip_prefix(keys.instances) {
            return ItemKind::Instance(name);
        }
        if let Some(service) = key.strip_prefix(keys.rollout_orders) {
            return ItemKind::RolloutOrder(service);
        }
        if let Some(service) = key.strip_prefix(keys.rollout_statuses) {
            return ItemKind::RolloutStatus(service);
        }
        if key.starts_with(keys.stream_records) {
            return ItemKind::StreamRecords;
        }
        if key.starts_with(keys.quarantines) {
            return ItemKind::Quarantines;
        }
        let service = key.strip_prefix(keys.version_notes);
        service.map_or(ItemKind::Other, ItemKind::VersionNote)
    }

    /// Returns the key of a service's rollout order.
    fn rollout_order_key(&self, service: &str) -> String {
        format!("{}{service}", self.keys().rollout_orders)
    }

    /// Returns the key of a service's rollout status.
    fn rollout_status_key(&self, service: &str) -> String {
        format!("{}{service}", self.keys().rollout_statuses)
    }

    /// Returns the key of the note of a service's versions.
    fn version_note_key(&self, service: &str) -> String {
        format!("{}{service}", self.keys().version_notes)
    }

    /// Returns the key of an instance's entry.
    fn instance_key(&self, name: &str) -> String {
        format!("{}{name}", self.keys().instances)
    }

    /// Decodes the operators' configuration.
    ///
    /// # Errors
    ///
    /// The document is malformed or inconsistent. No part of it may be used then.
    fn decode_configuration(&self, bytes: &[u8]) -> Result<Configuration, FormatError>;

    /// Decodes an endpoint's entry.
    ///
    /// # Errors
    ///
    /// The entry is malformed. It is treated as no endpoint.
    fn decode_endpoint(&self, id: &str, bytes: &[u8]) -> Result<Endpoint, FormatError>;

    /// Decodes a service's rollout order.
    ///
    /// # Errors
    ///
    /// The order is malformed. The previous order remains in force.
    fn decode_rollout_order(&self, service: &str, bytes: &[u8])
    -> Result<RolloutSpec, FormatError>;

    /// Decodes a rollout's status: its state, and the version it applies to.
    ///
    /// # Errors
    ///
    /// The document is malformed. It is ignored.
    fn decode_rollout_status(&self, bytes: &[u8]) -> Result<(State, String), FormatError>;

    /// Encodes a rollout's status: its state, and the version it applies to.
    fn encode_rollout_status(&self, state: State, version: &str) -> Vec<u8>;

    /// Decodes the note of a service's versions.
    ///
    /// # Errors
    ///
    /// The document is malformed. It is ignored.
    fn decode_version_note(&self, bytes: &[u8]) -> Result<Vec<String>, FormatError>;

    /// Encodes the note of a service's versions.
    fn encode_version_note(&self, versions: &[Arc<str>]) -> Vec<u8>;
}
