//! What the core asks of the platform's key-value service and instance list.

use bytes::Bytes;
use quick_error::quick_error;

use siskinyoke_base::DataCentre;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;

/// Numbers one request to the platform, so that its answer finds its controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OpId(pub u64);

/// The service's own name of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub i64);

/// One request to the platform; the service counts each as a call.
#[derive(Debug, Clone, PartialEq)]
pub enum PlatformRequest {
    /// Reads one key.
    Get {
        /// The key.
        key: String,
    },
    /// Reads all keys with a prefix, at most `limit`.
    List {
        /// The prefix.
        prefix: String,
        /// The most keys to return.
        limit: u32,
    },
    /// Writes a key if its version is still `expected` (0 for a key that must not exist).
    Swap {
        /// The key.
        key: String,
        /// The version that it must have.
        expected: u64,
        /// The new value.
        value: Bytes,
        /// The lease that the key lives under.
        lease: Option<LeaseId>,
    },
    /// Writes a key whatever it holds; only for immutable values named by their digest.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: Bytes,
    },
    /// Removes a key if its version is still `expected`.
    Remove {
        /// The key.
        key: String,
        /// The version that it must have.
        expected: u64,
    },
    /// Makes a lease.
    LeaseGrant {
        /// How long it lives without being kept alive.
        ttl: Millis,
    },
    /// Keeps a lease alive.
    LeaseKeep {
        /// The lease.
        lease: LeaseId,
    },
    /// Gives a lease up.
    LeaseRevoke {
        /// The lease.
        lease: LeaseId,
    },
    /// Waits until a key changes past a version, or until the time limit.
    Watch {
        /// The key.
        key: String,
        /// The version already known (0 for none).
        known: u64,
        /// How long to wait.
        limit: Millis,
    },
    /// Reads the instance list.
    Instances,
}

/// A value with the number of writes that its key has seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// The key's version: 1 after its first write, one more with each.
    pub version: u64,
}

/// The platform's answer.
#[derive(Debug, Clone, PartialEq)]
pub enum PlatformReply {
    /// The value of a key, to `Get` and `Watch`; a watch that ran out returns what it found.
    Value(Option<Versioned>),
    /// Keys and values in the order of keys, to `List`.
    Values(Vec<Versioned>),
    /// Whether a `Swap` or `Remove` took, and what the key holds if it did not.
    Swapped {
        /// Whether it took.
        done: bool,
        /// What the key holds if it did not.
        current: Option<Versioned>,
    },
    /// A `Put` took.
    Stored,
    /// A lease was made or kept alive.
    Lease {
        /// The lease.
        lease: LeaseId,
        /// How long it lives from the sending of the request; zero if it has lapsed.
        ttl: Millis,
    },
    /// The instance list, to `Instances`.
    Instances(Vec<ListedInstance>),
}

/// One line of the platform's instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// The instance.
    pub instance: InstanceId,
    /// Its data centre.
    pub centre: DataCentre,
    /// Address for peers.
    pub peer: String,
    /// Address for callers.
    pub caller: String,
    /// Whether the platform is taking it away.
    pub leaving: bool,
}

quick_error! {
    /// A request that the platform did not answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PlatformError {
        /// It cannot have taken effect.
        Down(detail: String) {
            display("the platform's service cannot be reached: {detail}")
        }
        /// It may have taken effect.
        Lost(detail: String) {
            display("the answer of the platform's service was lost: {detail}")
        }
    }
}
