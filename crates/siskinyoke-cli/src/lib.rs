//! The command-line tool of siskinyoke.

pub mod operator;
