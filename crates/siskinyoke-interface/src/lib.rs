//! The border between the runtime and those it speaks with.
//!
//! An interface says how callers, endpoints, operators and the store are spoken to: names, formats
//! and calls. It decides nothing. The runtime holds one interface and knows no other names.

pub mod directory;
pub mod documents;
pub mod error;
pub mod exchange;
pub mod headers;
pub mod store;

pub use directory::InstanceDirectory;
pub use documents::Documents;
pub use documents::ItemKind;
pub use documents::RolloutSpec;
pub use documents::StoreKeys;
pub use error::FormatError;
pub use exchange::Exchange;
pub use exchange::RequestHead;
pub use exchange::ResponseClass;
pub use store::Batch;
pub use store::Call;
pub use store::Consistency;
pub use store::Item;
pub use store::Store;

/// How callers, endpoints, operators and the store are spoken to.
#[derive(Debug)]
pub struct Interface {
    /// Requests and answers.
    pub exchange: Box<dyn Exchange>,
    /// The calls of the store.
    pub store: Box<dyn Store>,
    /// What the store holds.
    pub documents: Box<dyn Documents>,
    /// The short pages beside callers' work.
    pub directory: Box<dyn InstanceDirectory>,
}
