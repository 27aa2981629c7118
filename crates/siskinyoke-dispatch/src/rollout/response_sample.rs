//! A response as evidence on the version that gave it.

/// A response, as a sample for the comparison of versions.
#[derive(Debug, Clone, Copy)]
pub struct ResponseSample {
    /// The hash of the route's name.
    pub route: u32,
    /// Whether it came from an endpoint of the new version.
    pub new: bool,
    /// Whether it failed or took several times as long as expected.
    pub bad: bool,
    /// The endpoint's short key.
    pub endpoint: u32,
}
