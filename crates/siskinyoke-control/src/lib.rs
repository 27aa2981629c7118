//! Controllers of state and the core that joins them, as machines that do no I/O.

pub mod burn;
pub mod configuration;
pub mod controller;
pub mod orders;
pub mod outbox;
pub mod platform;
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
