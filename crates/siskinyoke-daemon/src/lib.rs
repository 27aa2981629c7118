//! The daemon: threads and sockets around the core, which decides everything.

pub mod daemon;
pub mod dispatch;
pub mod http;
pub mod loads;
pub mod metrics;
pub mod orders;
pub mod peers;
pub mod platform;
pub mod runtime;
pub mod settings;

pub use daemon::Daemon;
pub use settings::Settings;
