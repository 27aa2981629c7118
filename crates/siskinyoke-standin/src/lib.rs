//! Stand-ins for the systems that siskinyoke connects to: etcd, model engines and plain services.

pub mod announcements;
pub mod chunked;
pub mod completion;
pub mod engine;
pub mod error;
pub mod etcd;
pub mod fleet;
pub mod http;
pub mod load;
pub mod proxy;
pub mod service;
pub mod thread_pool;
pub mod trial;

/// A listen address on the loopback interface with any free port.
pub const LOOPBACK_ANY_PORT: &str = "127.0.0.1:0";
