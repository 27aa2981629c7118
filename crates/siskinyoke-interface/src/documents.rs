//! What the store holds: the configuration, the endpoints and the instances.

use std::fmt::Debug;

use crate::FormatError;
use siskinyoke_dispatch::Configuration;
use siskinyoke_dispatch::Endpoint;

/// What an item is by its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Entry<'a> {
    /// The operators' configuration.
    Configuration,
    /// An endpoint of this identity.
    Endpoint(&'a str),
    /// An instance of this name.
    Instance(&'a str),
    /// Nothing of ours.
    Other,
}

/// Where the documents lie in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Keys {
    /// The key of the operators' configuration.
    pub configuration: &'static str,
    /// The prefix of the endpoints' entries; their identity follows.
    pub endpoints: &'static str,
    /// The prefix of the instances' entries; their name follows.
    pub instances: &'static str,
}

/// The documents in the store.
pub trait Documents: Debug {
    /// Returns where they lie.
    fn keys(&self) -> Keys;

    /// Says what an item is by its key.
    fn entry<'a>(&self, key: &'a str) -> Entry<'a> {
        let keys = self.keys();
        if key == keys.configuration {
            return Entry::Configuration;
        }
        if let Some(id) = key.strip_prefix(keys.endpoints) {
            return Entry::Endpoint(id);
        }
        let instance = key.strip_prefix(keys.instances);
        instance.map_or(Entry::Other, Entry::Instance)
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
    fn configuration(&self, bytes: &[u8]) -> Result<Configuration, FormatError>;

    /// Decodes an endpoint's entry.
    ///
    /// # Errors
    ///
    /// What is wrong with it; such an entry names no endpoint.
    fn endpoint(&self, id: &str, bytes: &[u8]) -> Result<Endpoint, FormatError>;
}
