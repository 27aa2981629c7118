//! Daemons as separate processes, which are killed, frozen, stopped and cut off.

mod caller;
mod cluster;
mod failures;
mod outage;
mod process;
