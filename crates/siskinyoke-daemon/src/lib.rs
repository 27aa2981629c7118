//! Placeholder.

pub mod platform;
