//! An organisation's use of the slots of a service, against its share.

/// An organisation's use of the slots of a service, against its share, while slots are short.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareState {
    /// The number of slots that it has kept busy in the last seconds, in the shard.
    pub used_slots: f64,
    /// The number of slots that it has a right to; infinite if all organisations of its tier are
    /// served.
    pub share_slots: f64,
    /// Whether it exceeds its share, so that requests of others go first.
    pub above_share: bool,
}
