//! What the request path needs to know of the other instances.

use std::fmt;

use crate::Sender;
use crate::members::Members;
use siskinyoke_base::Incarnation;
use siskinyoke_base::InstanceId;
use siskinyoke_base::message::MemberRecord;
use siskinyoke_base::message::MemberState;

/// The other instances, as far as they are known.
pub trait Roster: fmt::Debug + Send {
    /// Returns the live members other than this one, in the order of their names.
    fn others(&self) -> Vec<&MemberRecord>;

    /// Tells whether a start is over, or cannot be reached as nothing is known of its instance.
    fn is_over(&self, instance: &InstanceId, incarnation: Incarnation) -> bool;
}

impl Roster for Members {
    fn others(&self) -> Vec<&MemberRecord> {
        let peers = self.peers();
        peers
            .filter(|record| record.state == MemberState::Live)
            .collect()
    }

    fn is_over(&self, instance: &InstanceId, incarnation: Incarnation) -> bool {
        self.is_gone(incarnation) || !self.knows(instance)
    }
}

impl From<&MemberRecord> for Sender {
    fn from(record: &MemberRecord) -> Self {
        Self {
            instance: record.instance.clone(),
            incarnation: record.incarnation,
        }
    }
}
