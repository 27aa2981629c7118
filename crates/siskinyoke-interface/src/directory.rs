//! The short pages beside callers' work.

use std::fmt::Debug;

use siskinyoke_base::Millis;

/// The short pages beside callers' work.
pub trait InstanceDirectory: Debug {
    /// The path that says whether an instance takes callers.
    fn readiness_path(&self) -> &'static str;

    /// The path that names the instances to use.
    fn directory_path(&self) -> &'static str;

    /// Returns the data centre that a caller names in its query, empty if it names none.
    fn requested_centre<'a>(&self, query: &'a str) -> &'a str;

    /// Encodes the instances to use, and how long to keep them.
    fn encode_addresses(&self, addresses: &[String], keep: Millis) -> Vec<u8>;
}
