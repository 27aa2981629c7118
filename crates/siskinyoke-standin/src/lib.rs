//! Small stand-ins for what siskinyoke meets: etcd, model engine and plain service.

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

/// Any free port of this machine.
pub const LOOPBACK_ANY_PORT: &str = "127.0.0.1:0";
