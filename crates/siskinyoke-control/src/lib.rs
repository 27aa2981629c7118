//! Controllers of state and the core that joins them, as machines that do no I/O.

pub mod burn;
pub mod claims;
pub mod configuration;
pub mod controller;
pub mod core;
pub mod leases;
pub mod ledger;
pub mod members;
pub mod orders;
pub mod outbox;
pub mod platform;
pub mod threshold;
pub mod usage;

pub use controller::Context;
pub use controller::Controller;
pub use controller::Reply;
pub use controller::Sender;
pub use outbox::Action;
pub use outbox::CallId;
pub use outbox::DispatchId;
pub use outbox::DispatchSpec;
pub use outbox::Outbox;
pub use platform::OpId;
pub use platform::PlatformError;
pub use platform::PlatformReply;
pub use platform::PlatformRequest;
