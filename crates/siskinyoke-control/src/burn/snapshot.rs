//! The counts of one daemon start, as told to operators and kept in the platform's service.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use super::Slot;
use super::Tally;
use crate::platform::Versioned;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Incarnation;
use siskinyoke_base::InstanceId;
use siskinyoke_base::OrganisationId;
use siskinyoke_base::TierName;

/// Prefix of the snapshots kept in the platform's service.
pub const SNAPSHOTS: &str = "siskinyoke/burn/";

/// The counts of one daemon start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The instance.
    pub instance: InstanceId,
    /// Its start.
    pub incarnation: Incarnation,
    /// When it was taken.
    pub slot: Slot,
    /// What it was measured against.
    pub target: Target,
    /// The counts of the long window.
    pub rows: Vec<Row>,
}

/// What the preset in force asks for.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The revision of the configuration.
    pub revision: u64,
    /// The preset's name.
    pub preset: String,
    /// Share of requests to be answered within need by tier, in parts of 1.
    pub objectives: BTreeMap<TierName, f64>,
}

/// Counts of one slot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The slot.
    pub slot: Slot,
    /// The tier.
    pub tier: TierName,
    /// The organisation.
    pub organisation: OrganisationId,
    /// The endpoint, for what went wrong there.
    pub endpoint: Option<EndpointId>,
    /// The counts.
    pub tally: Tally,
}

impl Snapshot {
    /// Returns the key under which it is kept.
    pub fn key(incarnation: Incarnation) -> String {
        format!("{SNAPSHOTS}{incarnation}")
    }

    /// Writes it as kept in the platform's service, with the newest rows that fit into `most`
    /// bytes.
    ///
    /// # Panics
    ///
    /// Never, as plain data always encodes.
    pub fn encode(&self, most: usize) -> Bytes {
        let mut cut = self.clone();
        loop {
            let bytes = postcard::to_stdvec(&cut).expect("plain data always encodes");
            if bytes.len() <= most || cut.rows.is_empty() {
                return Bytes::from(bytes);
            }
            cut.rows.sort_by_key(|row| row.slot);
            cut.rows.drain(..cut.rows.len().div_ceil(4));
        }
    }

    /// Reads the snapshots kept in the platform's service, passing over damaged ones.
    pub fn read(values: &[Versioned]) -> Vec<Self> {
        let read = |value: &Versioned| postcard::from_bytes(&value.value).ok();
        values.iter().filter_map(read).collect()
    }
}

/// What a daemon answers to the operators' tool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnReply {
    /// Its own counts.
    pub own: Snapshot,
    /// The members it knows, with their addresses for callers.
    pub members: Vec<MemberAddress>,
    /// Snapshots kept in the platform's service, for daemons that are gone.
    pub kept: Vec<Snapshot>,
    /// Whether the platform's service could be read for them.
    pub complete: bool,
}

/// Where a member is reached.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberAddress {
    /// The instance.
    pub instance: InstanceId,
    /// Its address, `host:port`.
    pub address: String,
}
