//! Counters of what should never be seen, for the metrics page.

/// How often the controller saw something that an operator should look into.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Alarms {
    /// The service showed an older revision than was already seen.
    pub older: u64,
    /// A manifest of the revision in force had other content.
    pub forked: u64,
    /// A manifest or page was damaged.
    pub damaged: u64,
    /// A page that a manifest names was missing.
    pub missing: u64,
}
