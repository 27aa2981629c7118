//! The parts of the command-line tool.

pub mod caller;
pub mod context;
pub mod operator;
