//! The native interface: OpenAI-style requests, plain services, and etcd as the store.
//!
//! It defines names and formats only and makes no scheduling or routing decisions.

pub mod configuration;
pub mod directory;
pub mod documents;
pub mod etcd;
pub mod exchange;
pub mod names;
pub mod rollout;
pub mod version_note;

use std::rc::Rc;

use siskinyoke_interface::Interface;

/// Returns the native interface.
pub fn interface() -> Interface {
    Interface {
        exchange: Rc::new(exchange::NativeExchange),
        store: Box::new(etcd::Etcd),
        documents: Box::new(documents::NativeDocuments),
        directory: Box::new(directory::NativeDirectory),
    }
}
