//! Members that do not answer, and since when.

use std::collections::BTreeMap;

use siskinyoke_base::Incarnation;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_base::message::MemberRecord;

/// One member that does not answer.
#[derive(Debug, Clone, Copy)]
struct Doubt {
    incarnation: Incarnation,
    beat: u64,
    since: Millis,
}

/// All members that do not answer.
#[derive(Debug, Default)]
pub struct Doubts {
    doubts: BTreeMap<InstanceId, Doubt>,
}

impl Doubts {
    /// Notes that a member does not answer; an earlier doubt of the same heartbeat stays.
    pub fn note(&mut self, record: &MemberRecord, now: Millis) {
        let doubt = Doubt {
            incarnation: record.incarnation,
            beat: record.beat,
            since: now,
        };
        let held = self.doubts.entry(record.instance.clone()).or_insert(doubt);
        if held.incarnation != record.incarnation || record.beat > held.beat {
            *held = doubt;
        }
    }

    /// Drops the doubt of a member whose record is newer than the doubt.
    pub fn clear(&mut self, record: &MemberRecord) {
        let Some(doubt) = self.doubts.get(&record.instance) else {
            return;
        };
        if record.incarnation != doubt.incarnation || record.beat > doubt.beat {
            self.doubts.remove(&record.instance);
        }
    }

    /// Tells whether a member is doubted.
    pub fn contains(&self, instance: &InstanceId) -> bool {
        self.doubts.contains_key(instance)
    }

    /// Takes out the members doubted for at least `span`.
    pub fn take_ripe(&mut self, now: Millis, span: Millis) -> Vec<InstanceId> {
        let ripe: Vec<InstanceId> = self
            .doubts
            .iter()
            .filter(|(_, doubt)| now.since(doubt.since) >= span)
            .map(|(name, _)| name.clone())
            .collect();
        for name in &ripe {
            self.doubts.remove(name);
        }
        ripe
    }
}
