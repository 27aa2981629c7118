//! Records of the versions at which streams began.
//!
//! What endpoints of two versions write does not fit together, so a stream goes on only at the
//! version that began it, also when its caller returns to another instance. An instance records
//! each stream that begins there and tells a few others, which are found by the stream's key; see
//! [`crate::stream_holders`].

use std::collections::VecDeque;

use crate::stream_key::StreamKey;
use crate::stream_origin::StreamOrigin;
use crate::version_key::VersionKey;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// How long a record is kept after the stream last began or went on.
///
/// Callers return within their deadline, which is seconds in all known uses.
pub const RECORD_TTL: Millis = Millis::from_secs(60);

/// The maximum number of records, to bound their memory to a few MB. The oldest ones yield.
const MAX_RECORDS: usize = 32 * 1024;

#[derive(Debug, Clone, Copy)]
struct Record {
    origin: StreamOrigin,
    recorded_at: Millis,
}

/// Records of the versions at which streams began.
#[derive(Debug, Default)]
pub struct StreamRecords {
    records: Map<StreamKey, Record>,
    // The keys in the order in which they were recorded; repeated if a stream went on.
    order: VecDeque<(Millis, StreamKey)>,
}

impl StreamRecords {
    /// Records that a stream began, or went on, at a version.
    pub fn record(&mut self, now: Millis, key: StreamKey, version: VersionKey) {
        let origin = match self.origin(now, key) {
            StreamOrigin::Unknown => StreamOrigin::Version(version),
            StreamOrigin::Version(known) if known == version => StreamOrigin::Version(version),
            _ => StreamOrigin::Ambiguous,
        };
        let record = Record {
            origin,
            recorded_at: now,
        };
        self.records.insert(key, record);
        self.order.push_back((now, key));
        self.remove_outdated(now);
    }

    /// Returns what is known of the version at which a stream began.
    pub fn origin(&self, now: Millis, key: StreamKey) -> StreamOrigin {
        let record = self.records.get(&key);
        let record = record.filter(|it| now.since(it.recorded_at) < RECORD_TTL);
        record.map_or(StreamOrigin::Unknown, |it| it.origin)
    }

    /// Returns the streams whose version is known.
    pub fn known(&self, now: Millis) -> impl Iterator<Item = (StreamKey, VersionKey)> {
        let records = self.records.iter();
        let current = records.filter(move |row| now.since(row.1.recorded_at) < RECORD_TTL);
        current.filter_map(|(key, record)| match record.origin {
            StreamOrigin::Version(version) => Some((*key, version)),
            _ => None,
        })
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    // Removes records that have expired or exceed the maximum.
    fn remove_outdated(&mut self, now: Millis) {
        while let Some((at, key)) = self.order.front().copied() {
            if now.since(at) < RECORD_TTL && self.order.len() <= MAX_RECORDS {
                return;
            }
            self.order.pop_front();
            if self
                .records
                .get(&key)
                .is_some_and(|it| it.recorded_at == at)
            {
                self.records.remove(&key);
            }
        }
    }
}
