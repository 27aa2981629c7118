//! The parts of the command-line tool.

pub mod report;
