//! A key-value service in memory that can be down and can lose answers.

use std::collections::BTreeMap;

use siskinyoke_control::PlatformError;
use siskinyoke_control::PlatformReply;
use siskinyoke_control::PlatformRequest;
use siskinyoke_control::platform::LeaseId;
use siskinyoke_control::platform::ListedInstance;
use siskinyoke_control::platform::Versioned;

/// A key-value service in memory.
#[derive(Debug, Default)]
pub struct FakePlatform {
    /// What it holds.
    pub values: BTreeMap<String, Versioned>,
    /// Whether it refuses every call.
    pub down: bool,
    /// Whether it shows keys as they were before their last write, as one restored from a copy.
    pub older: bool,
    /// How many of the next writes take effect without an answer.
    pub lose: u32,
    /// The instance list.
    pub instances: Vec<ListedInstance>,
    /// Calls so far.
    pub calls: u64,
    earlier: BTreeMap<String, Versioned>,
    leases: i64,
}

impl FakePlatform {
    /// Answers a call; a watch is answered with what the key holds.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Down`] if it is down, [`PlatformError::Lost`] if the answer is lost.
    pub fn call(&mut self, request: &PlatformRequest) -> Result<PlatformReply, PlatformError> {
        self.calls += 1;
        if self.down {
            return Err(PlatformError::Down("told to be down".into()));
        }
        let write = matches!(
            request,
            PlatformRequest::Swap { .. }
                | PlatformRequest::Put { .. }
                | PlatformRequest::Remove { .. }
        );
        let reply = self.apply(request);
        if write && self.lose > 0 {
            self.lose -= 1;
            return Err(PlatformError::Lost("told to lose the answer".into()));
        }
        Ok(reply)
    }

    fn apply(&mut self, request: &PlatformRequest) -> PlatformReply {
        match request {
            PlatformRequest::Get { key } | PlatformRequest::Watch { key, .. } => {
                let values = if self.older {
                    &self.earlier
                } else {
                    &self.values
                };
                PlatformReply::Value(values.get(key).or(self.values.get(key)).cloned())
            }
            PlatformRequest::List { prefix, limit } => {
                let found = self
                    .values
                    .values()
                    .filter(|value| value.key.starts_with(prefix));
                PlatformReply::Values(found.take(*limit as usize).cloned().collect())
            }
            PlatformRequest::Swap {
                key,
                expected,
                value,
                ..
            } => {
                let current = self.values.get(key).cloned();
                let version = current.as_ref().map_or(0, |current| current.version);
                let done = version == *expected;
                if done {
                    self.store(key, value, version + 1);
                }
                PlatformReply::Swapped {
                    done,
                    current: current.filter(|_| !done),
                }
            }
            PlatformRequest::Put { key, value } => {
                let version = self.values.get(key).map_or(0, |current| current.version);
                self.store(key, value, version + 1);
                PlatformReply::Stored
            }
            PlatformRequest::Remove { key, expected } => {
                let current = self.values.get(key).cloned();
                let done = current
                    .as_ref()
                    .is_some_and(|found| found.version == *expected);
                if done {
                    self.values.remove(key);
                }
                PlatformReply::Swapped {
                    done,
                    current: current.filter(|_| !done),
                }
            }
            PlatformRequest::LeaseGrant { ttl } => {
                self.leases += 1;
                PlatformReply::Lease {
                    lease: LeaseId(self.leases),
                    ttl: *ttl,
                }
            }
            PlatformRequest::LeaseKeep { lease } | PlatformRequest::LeaseRevoke { lease } => {
                let ttl = siskinyoke_base::Millis::from_secs(10);
                PlatformReply::Lease { lease: *lease, ttl }
            }
            PlatformRequest::Instances => PlatformReply::Instances(self.instances.clone()),
        }
    }

    fn store(&mut self, key: &str, value: &bytes::Bytes, version: u64) {
        let stored = Versioned {
            key: key.to_owned(),
            value: value.clone(),
            version,
        };
        if let Some(earlier) = self.values.insert(key.to_owned(), stored) {
            self.earlier.insert(key.to_owned(), earlier);
        }
    }
}
