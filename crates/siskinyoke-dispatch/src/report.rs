//! What instances tell each other, whole each time, so that a lost report needs no repair.

use serde::Deserialize;
use serde::Serialize;

use crate::EndpointKey;
use crate::stable_hash;

/// One instance's present state, as told to its peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The instance's name.
    pub name: String,
    /// Differs for each start of its process; a higher one is a later start.
    pub start: u64,
    /// How long its process has run, in ms.
    pub age: u64,
    /// Counts its reports; an older one that arrives late is dropped.
    pub number: u64,
    /// Where callers reach it.
    pub front: String,
    /// Where peers reach it.
    pub inner: String,
    /// Its data centre.
    pub centre: String,
    /// Whether it takes callers.
    pub ready: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The version of the configuration it has in force.
    pub configuration: u64,
    /// Its requests at each endpoint.
    pub running: Vec<(EndpointKey, u16)>,
    /// Its waiting requests by service and rank.
    pub waiting: Vec<Waiting>,
    /// Units used by organisation since its start.
    pub spent: Vec<(u32, u64)>,
    /// Endpoints it knows to be leaving or gone.
    pub leavers: Vec<EndpointKey>,
    /// Work that crashed endpoints, with the number of crashes.
    pub suspects: Vec<(u64, u8)>,
    /// Inner addresses of the peers it hears.
    pub peers: Vec<String>,
}

impl Report {
    /// Returns what names the start of the process that sent it, among all instances.
    ///
    /// Several processes may start in the same millisecond, so the name belongs to it.
    pub fn source(&self) -> u64 {
        stable_hash(&(&self.name, self.start))
    }
}

/// The waiting requests of one service and rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Waiting {
    /// The service, hashed.
    pub service: u32,
    /// Their rank.
    pub rank: u16,
    /// How many wait.
    pub count: u16,
    /// How long the first of them has waited, in ms.
    pub oldest: u32,
}

/// Returns a name's hash as it stands in reports.
pub fn short(name: &str) -> u32 {
    (stable_hash(&name) >> 32) as u32
}
