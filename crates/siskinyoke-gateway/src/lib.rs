//! The runtime of an instance: network I/O, timers and signals around the decision core, on one
//! thread.

pub mod admin;
pub mod announcements;
pub mod attempt;
pub mod callers;
pub mod clock;
pub mod cluster_view;
pub mod connection;
pub mod departures;
pub mod events;
pub mod first_read;
pub mod gateway;
pub mod gossip;
pub mod hedge;
pub mod job;
pub mod lending;
pub mod listener;
pub mod log_writer;
pub mod memory;
pub mod metrics;
pub mod peer_api;
pub mod permit;
pub mod pool;
pub mod rate_limits;
pub mod registration;
pub mod reload;
pub mod replica;
pub mod requested_backoff;
pub mod response;
pub mod rollouts;
pub mod settings;
pub mod shell;
pub mod signals;
pub mod store;
pub mod transfer;
pub mod watcher;
