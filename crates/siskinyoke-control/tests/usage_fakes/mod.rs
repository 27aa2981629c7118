//! A small platform's service that can fail in the ways that matter.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::BTreeMap;

use bytes::Bytes;

use siskinyoke_base::Millis;
use siskinyoke_control::PlatformError;
use siskinyoke_control::PlatformReply;
use siskinyoke_control::PlatformRequest;
use siskinyoke_control::Reply;
use siskinyoke_control::platform::LeaseId;
use siskinyoke_control::platform::Versioned;

/// How the service answers.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// As it should.
    #[default]
    Up,
    /// Not at all, and nothing takes effect.
    Down,
    /// Everything takes effect and every answer is lost.
    Deaf,
    /// As it should, but the answers to writes are lost.
    DeafToWrites,
}

/// The service.
#[derive(Debug, Default)]
pub struct Service {
    pub mode: Mode,
    pub keys: BTreeMap<String, Held>,
    pub leases: BTreeMap<i64, (Millis, Millis)>,
    pub writes: u64,
    pub calls: u32,
    pub largest: usize,
}

/// A value with its version and lease.
#[derive(Debug, Clone)]
pub struct Held {
    pub value: Bytes,
    pub version: u64,
    pub lease: Option<LeaseId>,
}

impl Service {
    /// Answers a request.
    pub fn call(&mut self, now: Millis, request: &PlatformRequest) -> Reply {
        self.lapse(now);
        self.calls += 1;
        match self.mode {
            Mode::DeafToWrites if matches!(request, PlatformRequest::Swap { .. }) => {
                self.apply(now, request);
                Err(PlatformError::Lost("test".to_owned()))
            }
            Mode::Up | Mode::DeafToWrites => Ok(self.apply(now, request)),
            Mode::Down => Err(PlatformError::Down("test".to_owned())),
            Mode::Deaf => {
                self.apply(now, request);
                Err(PlatformError::Lost("test".to_owned()))
            }
        }
    }

    /// Returns all values under a prefix.
    pub fn list(&self, prefix: &str) -> Vec<Versioned> {
        let all = self.keys.range(prefix.to_owned()..);
        let under = all.take_while(|(key, _)| key.starts_with(prefix));
        under.map(|(key, _)| self.get(key).unwrap()).collect()
    }

    /// Returns one value.
    pub fn get(&self, key: &str) -> Option<Versioned> {
        self.keys.get(key).map(|held| Versioned {
            key: key.to_owned(),
            value: held.value.clone(),
            version: held.version,
        })
    }

    fn lapse(&mut self, now: Millis) {
        self.leases.retain(|_, (until, _)| now < *until);
        let leases = &self.leases;
        self.keys
            .retain(|_, held| held.lease.is_none_or(|id| leases.contains_key(&id.0)));
    }

    fn apply(&mut self, now: Millis, request: &PlatformRequest) -> PlatformReply {
        match request {
            PlatformRequest::Get { key } | PlatformRequest::Watch { key, .. } => {
                PlatformReply::Value(self.get(key))
            }
            PlatformRequest::List { prefix, limit } => {
                let mut values = self.list(prefix);
                values.truncate(*limit as usize);
                PlatformReply::Values(values)
            }
            PlatformRequest::Swap {
                key,
                expected,
                value,
                lease,
            } => self.swap(key, *expected, value, *lease),
            PlatformRequest::Remove { key, expected } => {
                let done = self.version(key) == *expected;
                if done {
                    self.keys.remove(key);
                }
                let current = self.get(key).filter(|_| !done);
                PlatformReply::Swapped { done, current }
            }
            PlatformRequest::LeaseGrant { ttl } => {
                let id = 1 + self.leases.keys().max().copied().unwrap_or(0);
                self.leases.insert(id, (now + *ttl, *ttl));
                let (lease, ttl) = (LeaseId(id), *ttl);
                PlatformReply::Lease { lease, ttl }
            }
            PlatformRequest::LeaseKeep { lease } => self.keep(now, *lease),
            PlatformRequest::LeaseRevoke { lease } => {
                self.leases.remove(&lease.0);
                self.lapse(now);
                let (lease, ttl) = (*lease, Millis::ZERO);
                PlatformReply::Lease { lease, ttl }
            }
            other => panic!("not used here: {other:?}"),
        }
    }

    fn swap(
        &mut self,
        key: &str,
        expected: u64,
        value: &Bytes,
        lease: Option<LeaseId>,
    ) -> PlatformReply {
        let version = self.version(key);
        let lapsed = lease.is_some_and(|id| !self.leases.contains_key(&id.0));
        if version != expected || lapsed {
            let (done, current) = (false, self.get(key));
            return PlatformReply::Swapped { done, current };
        }
        self.writes += 1;
        self.largest = self.largest.max(value.len());
        let held = Held {
            value: value.clone(),
            version: version + 1,
            lease,
        };
        self.keys.insert(key.to_owned(), held);
        let (done, current) = (true, None);
        PlatformReply::Swapped { done, current }
    }

    fn keep(&mut self, now: Millis, lease: LeaseId) -> PlatformReply {
        let Some((until, ttl)) = self.leases.get_mut(&lease.0) else {
            let ttl = Millis::ZERO;
            return PlatformReply::Lease { lease, ttl };
        };
        *until = now + *ttl;
        let ttl = *ttl;
        PlatformReply::Lease { lease, ttl }
    }

    fn version(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |held| held.version)
    }
}
