//! Records of streams that have not been written to the store.

use std::collections::VecDeque;

use crate::stream_key::StreamKey;
use crate::version_key::VersionKey;
use siskinyoke_base::Millis;
use siskinyoke_base::Set;

/// The maximum number of records, to bound their memory to a few hundred kB. The oldest ones yield.
const MAX_RECORDS: usize = 8 * 1024;

/// Records of streams that have not been written to the store.
///
/// Only records of services with several versions are written. The others are kept, as a second
/// version may appear while their streams last; those of ended streams are removed then.
#[derive(Debug, Default)]
pub struct UnsavedStreams {
    records: VecDeque<(Millis, StreamKey, VersionKey)>,
}

impl UnsavedStreams {
    /// Adds the record of a stream that began at a version.
    pub fn push(&mut self, now: Millis, key: StreamKey, version: VersionKey) {
        if self.records.len() == MAX_RECORDS {
            self.records.pop_front();
        }
        self.records.push_back((now, key, version));
    }

    /// Removes and returns the records of these versions, the oldest ones first.
    pub fn take(&mut self, versions: &Set<VersionKey>) -> Vec<(StreamKey, VersionKey)> {
        let mut due = Vec::new();
        self.records.retain(|(_, key, version)| {
            let is_due = versions.contains(version);
            if is_due {
                due.push((*key, *version));
            }
            !is_due
        });
        due
    }

    /// Removes the records of streams that began before a time.
    pub fn remove_before(&mut self, time: Millis) {
        while self.records.front().is_some_and(|row| row.0 < time) {
            self.records.pop_front();
        }
    }
}
