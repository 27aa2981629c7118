//! Readiness check and instance directory.

use std::fmt::Debug;

use siskinyoke_base::Millis;

/// The HTTP pages for the readiness check and the instance directory.
pub trait InstanceDirectory: Debug {
    /// Returns the path of the check whether an instance accepts callers.
    fn readiness_path(&self) -> &'static str;

    /// Returns the path that lists the instances to use.
    fn directory_path(&self) -> &'static str;

    /// Returns the data centre given in a caller's query, or an empty string if there is none.
    fn requested_centre<'a>(&self, query: &'a str) -> &'a str;

    /// Encodes the addresses of the instances to use, and how long callers may cache them.
    fn encode_addresses(&self, addresses: &[String], ttl: Millis) -> Vec<u8>;
}
