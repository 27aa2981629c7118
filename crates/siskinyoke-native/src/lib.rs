//! The product's own interface: OpenAI-style requests, plain services, and etcd as the store.
//!
//! It names and decodes; it decides nothing.

pub mod configuration;
pub mod directory;
pub mod documents;
pub mod etcd;
pub mod exchange;
pub mod names;
pub mod rollout;

use siskinyoke_interface::Interface;

/// Returns the product's own interface.
pub fn interface() -> Interface {
    Interface {
        exchange: Box::new(exchange::NativeExchange),
        store: Box::new(etcd::Etcd),
        documents: Box::new(documents::NativeDocuments),
        directory: Box::new(directory::NativeDirectory),
    }
}
