//! The memory and the connections that clients may make this process hold.

use std::rc::Rc;

use crate::memory_budget::MemoryBudget;
use crate::open_connections::OpenConnections;
use crate::settings::Settings;

/// The memory and the connections that clients may make this process hold.
#[derive(Debug)]
pub struct ClientResources {
    /// All memory that clients use.
    pub memory: MemoryBudget,
    /// The part of it for request bodies.
    pub bodies: MemoryBudget,
    /// The part of it for responses that are larger than the usual ones.
    pub responses: MemoryBudget,
    /// The open connections.
    pub connections: Rc<OpenConnections>,
}

impl ClientResources {
    /// Returns the resources that some settings allow.
    pub fn new(settings: &Settings) -> Self {
        let memory = MemoryBudget::new(settings.client_memory_bytes());
        let responses = memory.part(settings.response_memory_bytes());
        let connections = OpenConnections::new(memory.clone(), responses.clone());
        Self {
            bodies: memory.part(settings.body_memory_bytes()),
            responses,
            connections: Rc::new(connections),
            memory,
        }
    }

    /// Sets the limits to those of other settings.
    pub fn apply(&self, settings: &Settings) {
        self.memory.set_limit(settings.client_memory_bytes());
        self.bodies.set_limit(settings.body_memory_bytes());
        self.responses.set_limit(settings.response_memory_bytes());
    }
}
