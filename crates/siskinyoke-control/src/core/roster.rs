//! What the core needs to know of the other instances.

use std::fmt;

use crate::Sender;
use siskinyoke_base::Incarnation;
use siskinyoke_base::InstanceId;
use siskinyoke_base::message::MemberRecord;
use siskinyoke_base::message::MemberState;

/// The other instances, as far as they are known.
pub trait Roster: fmt::Debug + Send {
    /// Returns the live members other than this one, in the order of their names.
    fn live(&self) -> Vec<&MemberRecord>;

    /// Finds a live or suspected member by its start.
    fn find(&self, incarnation: Incarnation) -> Option<&MemberRecord>;

    /// Tells whether a start is known to be over.
    fn is_gone(&self, instance: &InstanceId, incarnation: Incarnation) -> bool;
}

/// A roster that is set from outside; used by tests and by daemons that stand alone.
#[derive(Debug, Default)]
pub struct FixedRoster {
    /// Its members.
    pub members: Vec<MemberRecord>,
}

impl Roster for FixedRoster {
    fn live(&self) -> Vec<&MemberRecord> {
        self.members
            .iter()
            .filter(|record| record.state == MemberState::Live)
            .collect()
    }

    fn find(&self, incarnation: Incarnation) -> Option<&MemberRecord> {
        self.members
            .iter()
            .find(|record| record.incarnation == incarnation && record.state < MemberState::Gone)
    }

    fn is_gone(&self, instance: &InstanceId, incarnation: Incarnation) -> bool {
        let same = self
            .members
            .iter()
            .find(|record| record.instance == *instance);
        same.is_none_or(|record| {
            record.incarnation != incarnation || record.state == MemberState::Gone
        })
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
