//! Stand-ins for the platform's store, servers and requesters, and the start of the program under
//! review. They speak what `PROTOCOL.md` says and use the standard library only.

pub mod gateway;
pub mod http;
pub mod json;
pub mod record;
pub mod server;
pub mod store;
pub mod stream_client;
pub mod stream_server;
