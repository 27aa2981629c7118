//! What the store holds: the configuration, the endpoints and the instances.

use std::fmt::Debug;

use crate::FormatError;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Configuration;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::rollout::State;

/// What an item is by its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemKind<'a> {
    /// The operators' configuration.
    Configuration,
    /// An endpoint of this identity.
    Endpoint(&'a str),
    /// An instance of this name.
    Instance(&'a str),
    /// The order to move this service's traffic to another version.
    RolloutOrder(&'a str),
    /// How far the order for this service has come.
    RolloutStatus(&'a str),
    /// Nothing of ours.
    Other,
}

/// Where the documents lie in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreKeys {
    /// The key of the operators' configuration.
    pub configuration: &'static str,
    /// The prefix of the endpoints' entries; their identity follows.
    pub endpoints: &'static str,
    /// The prefix of the instances' entries; their name follows.
    pub instances: &'static str,
    /// The prefix of the orders to move a service's traffic; its name follows.
    pub rollout_orders: &'static str,
    /// The prefix of their states; the service's name follows.
    pub rollout_states: &'static str,
}

/// An order to move a service's traffic, as an operator writes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutSpec {
    /// The version that traffic is to move to.
    pub version: String,
    /// How long the move may take.
    pub duration: Millis,
}

/// The documents in the store.
pub trait Documents: Debug {
    /// Returns where they lie.
    fn keys(&self) -> StoreKeys;

    /// Says what an item is by its key.
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
        let service = key.strip_prefix(keys.rollout_states);
        service.map_or(ItemKind::Other, ItemKind::RolloutStatus)
    }

    /// Returns the key of the order for a service.
    fn rollout_order_key(&self, service: &str) -> String {
        format!("{}{service}", self.keys().rollout_orders)
    }

    /// Returns the key of a service's state.
    fn rollout_state_key(&self, service: &str) -> String {
        format!("{}{service}", self.keys().rollout_states)
    }

    /// Returns the key of an instance's entry.
    fn instance_key(&self, name: &str) -> String {
        format!("{}{name}", self.keys().instances)
    }

    /// Decodes the operators' configuration.
    ///
    /// # Errors
    ///
    /// What is wrong with it; nothing of it may be used then.
    fn decode_configuration(&self, bytes: &[u8]) -> Result<Configuration, FormatError>;

    /// Decodes an endpoint's entry.
    ///
    /// # Errors
    ///
    /// What is wrong with it; such an entry names no endpoint.
    fn decode_endpoint(&self, id: &str, bytes: &[u8]) -> Result<Endpoint, FormatError>;

    /// Decodes an order for a service.
    ///
    /// # Errors
    ///
    /// What is wrong with it; the order before it stays.
    fn decode_rollout_order(&self, service: &str, bytes: &[u8])
    -> Result<RolloutSpec, FormatError>;

    /// Decodes the state of an order, with its version.
    ///
    /// # Errors
    ///
    /// What is wrong with it; it says nothing then.
    fn decode_rollout_state(&self, bytes: &[u8]) -> Result<(State, String), FormatError>;

    /// Encodes the state of an order for this version.
    fn encode_rollout_state(&self, state: State, version: &str) -> Vec<u8>;
}
