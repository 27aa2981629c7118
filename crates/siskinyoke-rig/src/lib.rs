//! A measuring rig for the decisions under load: policies over unlike endpoints in virtual time.
//!
//! It measures decisions and simulates nobody's cluster: no connections, no failures of daemons.

pub mod allocator;
pub mod bound;
pub mod convert;
pub mod engine;
pub mod figures;
pub mod load;
pub mod matrix;
pub mod plain;
pub mod request;
pub mod rival;
pub mod run;
pub mod site;
pub mod table;
