//! The adapter for etcd's published v3 JSON gateway and an instance list over HTTP.

use serde_json::Value;

use super::PlatformService;
use super::settings::PlatformSettings;
use super::transport::Effect;
use super::transport::Transport;
use super::watch;
use super::watch::Bookmarks;
use super::watch::Seen;
use super::watch::Watched;
use super::wire::Base64;
use super::wire::Compare;
use super::wire::InstanceLine;
use super::wire::KeyValue;
use super::wire::LeaseRequest;
use super::wire::LeaseResponse;
use super::wire::Number;
use super::wire::Op;
use super::wire::PutRequest;
use super::wire::RangeRequest;
use super::wire::RangeResponse;
use super::wire::Streamed;
use super::wire::TxnRequest;
use super::wire::TxnResponse;
use siskinyoke_base::Millis;
use siskinyoke_control::PlatformError;
use siskinyoke_control::PlatformReply;
use siskinyoke_control::PlatformRequest;
use siskinyoke_control::platform::LeaseId;
use siskinyoke_control::platform::ListedInstance;
use siskinyoke_control::platform::Versioned;

const RANGE: &str = "/v3/kv/range";
const PUT: &str = "/v3/kv/put";
const TXN: &str = "/v3/kv/txn";
const GRANT: &str = "/v3/lease/grant";
const KEEP: &str = "/v3/lease/keepalive";
const REVOKE: &str = "/v3/lease/revoke";

/// Speaks to the platform.
pub struct EtcdGateway {
    transport: Transport,
    instances: Option<String>,
    bookmarks: Bookmarks,
}

impl EtcdGateway {
    /// Prepares calls; nothing is sent before the first one.
    pub fn new(settings: &PlatformSettings) -> Self {
        Self {
            transport: Transport::new(&settings.kv, settings.limit),
            instances: settings.instances.clone(),
            bookmarks: Bookmarks::default(),
        }
    }

    fn get(&self, key: &str) -> Result<Seen, PlatformError> {
        let request = RangeRequest {
            key: key.into(),
            ..RangeRequest::default()
        };
        let response: RangeResponse = self.transport.post(RANGE, &request, Effect::Read)?;
        Ok(Seen {
            revision: response.header.revision.0,
            value: response.kvs.into_iter().next().map(Versioned::from),
        })
    }

    fn list(&self, prefix: &str, limit: u32) -> Result<Vec<Versioned>, PlatformError> {
        let request = RangeRequest {
            key: first_key(prefix),
            range_end: Some(prefix_end(prefix)),
            limit: Some(Number(i64::from(limit))),
        };
        let response: RangeResponse = self.transport.post(RANGE, &request, Effect::Read)?;
        Ok(response.kvs.into_iter().map(Versioned::from).collect())
    }

    fn swap(&self, key: &str, expected: u64, op: Op) -> Result<PlatformReply, PlatformError> {
        let read = RangeRequest {
            key: key.into(),
            ..RangeRequest::default()
        };
        let request = TxnRequest {
            compare: vec![Compare {
                result: "EQUAL",
                target: "VERSION",
                key: key.into(),
                version: Number(i64::try_from(expected).unwrap_or(i64::MAX)),
            }],
            success: vec![op],
            failure: vec![Op::Range(read)],
        };
        let response: TxnResponse = self.transport.post(TXN, &request, Effect::Write)?;
        let mut read = response.responses.into_iter();
        let kvs = read
            .find_map(|op| op.response_range)
            .unwrap_or_default()
            .kvs;
        let current = kvs.into_iter().next();
        Ok(PlatformReply::Swapped {
            done: response.succeeded,
            current: current.map(KeyValue::into),
        })
    }

    fn put(&self, key: &str, value: &bytes::Bytes) -> Result<PlatformReply, PlatformError> {
        let request = PutRequest {
            key: key.into(),
            value: Base64(value.clone()),
            lease: None,
        };
        let _: Value = self.transport.post(PUT, &request, Effect::Write)?;
        Ok(PlatformReply::Stored)
    }

    fn grant(&self, ttl: Millis) -> Result<PlatformReply, PlatformError> {
        let request = LeaseRequest {
            ttl: Some(Number(whole_secs(ttl))),
            id: None,
        };
        let response: LeaseResponse = self.transport.post(GRANT, &request, Effect::Write)?;
        Ok(lease(LeaseId(response.id.0), response.ttl))
    }

    fn keep(&self, name: LeaseId) -> Result<PlatformReply, PlatformError> {
        let request = named(name);
        let response: Streamed<LeaseResponse> =
            self.transport.post(KEEP, &request, Effect::Write)?;
        Ok(lease(name, response.result.ttl))
    }

    fn revoke(&self, name: LeaseId) -> Result<PlatformReply, PlatformError> {
        let _: Value = self.transport.post(REVOKE, &named(name), Effect::Write)?;
        Ok(lease(name, Number(0)))
    }

    fn watch(
        &mut self,
        key: &str,
        known: u64,
        limit: Millis,
    ) -> Result<PlatformReply, PlatformError> {
        let start = if let Some(start) = self.bookmarks.after(key, known) {
            start
        } else {
            let seen = self.get(key)?;
            let start = self.bookmarks.note(key, &seen);
            if seen.version() != known {
                return Ok(PlatformReply::Value(seen.value));
            }
            start
        };
        let watched = watch::wait(&self.transport, key, start, limit)?;
        if let Watched::Changed(seen) = watched {
            self.bookmarks.note(key, &seen);
            return Ok(PlatformReply::Value(seen.value));
        }
        let seen = self.get(key)?;
        self.bookmarks.note(key, &seen);
        // Whoever watches asks again at once. A service that ends each watch early would be asked
        // as fast as it answers, which shows as thousands of calls; an error makes the asker wait.
        if matches!(watched, Watched::Ended) && seen.version() == known {
            return Err(PlatformError::Down("the watch ended early".to_owned()));
        }
        Ok(PlatformReply::Value(seen.value))
    }

    fn instances(&self) -> Result<Vec<ListedInstance>, PlatformError> {
        let Some(url) = &self.instances else {
            return Ok(Vec::new());
        };
        let lines: Vec<InstanceLine> = self.transport.get(url)?;
        Ok(lines.into_iter().map(ListedInstance::from).collect())
    }
}

impl PlatformService for EtcdGateway {
    fn call(&mut self, request: &PlatformRequest) -> Result<PlatformReply, PlatformError> {
        match request {
            PlatformRequest::Get { key } => Ok(PlatformReply::Value(self.get(key)?.value)),
            PlatformRequest::List { prefix, limit } => {
                Ok(PlatformReply::Values(self.list(prefix, *limit)?))
            }
            PlatformRequest::Swap {
                key,
                expected,
                value,
                lease,
            } => {
                let put = PutRequest {
                    key: key.as_str().into(),
                    value: Base64(value.clone()),
                    lease: lease.map(|lease| Number(lease.0)),
                };
                self.swap(key, *expected, Op::Put(put))
            }
            PlatformRequest::Put { key, value } => self.put(key, value),
            PlatformRequest::Remove { key, expected } => {
                let range = RangeRequest {
                    key: key.as_str().into(),
                    ..RangeRequest::default()
                };
                self.swap(key, *expected, Op::DeleteRange(range))
            }
            PlatformRequest::LeaseGrant { ttl } => self.grant(*ttl),
            PlatformRequest::LeaseKeep { lease } => self.keep(*lease),
            PlatformRequest::LeaseRevoke { lease } => self.revoke(*lease),
            PlatformRequest::Watch { key, known, limit } => self.watch(key, *known, *limit),
            PlatformRequest::Instances => Ok(PlatformReply::Instances(self.instances()?)),
        }
    }
}

fn lease(name: LeaseId, ttl: Number) -> PlatformReply {
    let secs = u64::try_from(ttl.0).unwrap_or_default();
    PlatformReply::Lease {
        lease: name,
        ttl: Millis::from_secs(secs),
    }
}

fn named(name: LeaseId) -> LeaseRequest {
    LeaseRequest {
        ttl: None,
        id: Some(Number(name.0)),
    }
}

/// Rounds up, since a lease of no seconds is refused.
fn whole_secs(span: Millis) -> i64 {
    i64::try_from(span.0.div_ceil(1000)).unwrap_or(i64::MAX)
}

/// Returns the first key of a prefix; the empty key is spelt as one zero byte.
fn first_key(prefix: &str) -> Base64 {
    if prefix.is_empty() {
        return Base64(bytes::Bytes::from_static(&[0]));
    }
    prefix.into()
}

/// Returns the end of the keys with a prefix; one zero byte stands for all that follow.
fn prefix_end(prefix: &str) -> Base64 {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return Base64(end.into());
        }
    }
    Base64(bytes::Bytes::from_static(&[0]))
}
