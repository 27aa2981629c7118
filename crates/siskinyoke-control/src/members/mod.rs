//! Members: which instances are there, learned by heartbeats at a cost that the fleet's size
//! does not touch.

mod choice;
mod controller;
mod doubts;
mod health;
mod member;
mod probes;
mod roster;
mod table;
mod watch;

pub use controller::MemberAddress;
pub use controller::Members;
