//! A small fake of the platform's key-value service, in virtual time.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bytes::Bytes;

use siskinyoke_control::PlatformError;
use siskinyoke_control::PlatformReply;
use siskinyoke_control::PlatformRequest;
use siskinyoke_control::Reply;
use siskinyoke_control::platform::Versioned;

/// What happens to a coming write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mishap {
    /// It takes effect and its answer is lost.
    Landed,
    /// It is lost on its way there.
    Unlanded,
    /// Its sender is told that it is lost, and it arrives seconds later.
    Late,
}

/// The service's values and what is wrong with it.
#[derive(Debug, Default)]
pub struct FakePlatform {
    /// The values by key.
    pub values: BTreeMap<String, Versioned>,
    /// Every value that a key had, the oldest first.
    pub history: BTreeMap<String, Vec<Versioned>>,
    /// Whether it answers nobody.
    pub down: bool,
    /// What happens to the next swaps.
    pub mishaps: VecDeque<Mishap>,
    /// Calls answered or refused.
    pub calls: u64,
    /// Swaps seen.
    pub swaps: u64,
}

impl FakePlatform {
    /// Answers a request other than a watch.
    pub fn answer(&mut self, request: &PlatformRequest) -> Reply {
        self.calls += 1;
        if self.down {
            return Err(PlatformError::Down("the fake is down".to_owned()));
        }
        match request {
            PlatformRequest::Get { key } | PlatformRequest::Watch { key, .. } => {
                Ok(PlatformReply::Value(self.values.get(key).cloned()))
            }
            PlatformRequest::Put { key, value } => {
                self.write(key, value);
                Ok(PlatformReply::Stored)
            }
            PlatformRequest::Swap {
                key,
                expected,
                value,
                ..
            } => self.swap(key, *expected, value),
            PlatformRequest::Remove { key, expected } => {
                let done = self.version(key) == *expected;
                if done {
                    self.values.remove(key);
                }
                let current = self.values.get(key).cloned();
                Ok(PlatformReply::Swapped { done, current })
            }
            other => panic!("the fake knows nothing of {other:?}"),
        }
    }

    /// Returns a key's version, 0 if it is not there.
    pub fn version(&self, key: &str) -> u64 {
        self.values.get(key).map_or(0, |value| value.version)
    }

    /// Writes a key whatever it holds.
    pub fn write(&mut self, key: &str, value: &Bytes) {
        let versioned = Versioned {
            key: key.to_owned(),
            value: value.clone(),
            version: self.version(key) + 1,
        };
        let history = self.history.entry(key.to_owned()).or_default();
        history.push(versioned.clone());
        self.values.insert(key.to_owned(), versioned);
    }

    fn swap(&mut self, key: &str, expected: u64, value: &Bytes) -> Reply {
        self.swaps += 1;
        let mishap = self.mishaps.pop_front_if(|mishap| *mishap != Mishap::Late);
        let lost = || Err(PlatformError::Lost("the fake lost it".to_owned()));
        if mishap == Some(Mishap::Unlanded) {
            return lost();
        }
        let done = self.version(key) == expected;
        if done {
            self.write(key, value);
        }
        if mishap == Some(Mishap::Landed) {
            return lost();
        }
        let current = self.values.get(key).filter(|_| !done).cloned();
        Ok(PlatformReply::Swapped { done, current })
    }
}
