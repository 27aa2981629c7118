//! The parts of the command-line tool.

pub mod caller;
pub mod context;
//! The command-line tool of siskinyoke.

pub mod operator;
