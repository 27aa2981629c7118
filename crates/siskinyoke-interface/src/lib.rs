//! Traits that separate the runtime from external protocols.
//!
//! An interface defines the names, formats and calls used with callers, endpoints, operators and
//! the store. It makes no scheduling or routing decisions. The runtime uses exactly one interface
//! and contains no protocol names of its own.

use std::rc::Rc;

pub mod directory;
pub mod documents;
pub mod endpoint;
pub mod error;
pub mod exchange;
pub mod headers;
pub mod resumption;
pub mod store;

pub use directory::InstanceDirectory;
pub use documents::Documents;
pub use documents::ItemKind;
pub use documents::RolloutSpec;
pub use documents::StoreKeys;
pub use endpoint::check_endpoint;
pub use error::FormatError;
pub use exchange::Exchange;
pub use exchange::RequestHead;
pub use exchange::ResponseClass;
pub use resumption::Resumption;
pub use store::Batch;
pub use store::Call;
pub use store::Consistency;
pub use store::Item;
pub use store::Store;

/// The protocols used with callers, endpoints, operators and the store.
#[derive(Debug)]
pub struct Interface {
    /// Heads of requests and responses.
    pub exchange: Rc<dyn Exchange>,
    /// Calls to the store.
    pub store: Box<dyn Store>,
    /// Documents in the store.
    pub documents: Box<dyn Documents>,
    /// Readiness and the instance directory.
    pub directory: Box<dyn InstanceDirectory>,
}
