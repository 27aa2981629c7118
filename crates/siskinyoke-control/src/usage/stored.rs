//! Usage as it stands in the platform's service and in messages to peers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Day;
use super::Line;
use super::LineKey;
use siskinyoke_base::Incarnation;

/// Prefix of the records of single daemon starts.
pub const RECORDS: &str = "siskinyoke/usage/";

/// Prefix of the totals of closed days.
pub const TOTALS: &str = "siskinyoke/total/";

/// Parts of a day's total: 21,000 organisations of three lines each make two thousand lines a
/// part, a fifth of the largest value.
pub const SHARDS: u8 = 32;

/// Lines by key.
pub type Lines = BTreeMap<LineKey, Line>;

/// One page of a daemon start's record of one day.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct PageDoc {
    /// Whether it is being added to the day's total and may no longer be written.
    pub sealed: bool,
    /// Cumulative lines.
    pub lines: Lines,
}

/// One part of the total of a closed day.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct TotalDoc {
    /// The daemon starts whose records are in the lines.
    pub folded: BTreeSet<Incarnation>,
    /// Lines summed over these.
    pub lines: Lines,
}

/// One line on its way to a peer that holds it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeldLine {
    /// The day.
    pub day: Day,
    /// What it counts.
    pub key: LineKey,
    /// Its counters.
    pub line: Line,
}

/// Writes a document as stored.
///
/// # Panics
///
/// Never, as plain data always encodes.
pub fn encode<T: Serialize>(doc: &T) -> Bytes {
    let bytes = postcard::to_stdvec(doc).expect("plain data always encodes");
    Bytes::from(bytes)
}

/// Reads a document; `None` if it is damaged.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}

/// Returns the key of a page of `writer`'s record, as written by the daemon start `by`.
pub fn page_key(day: Day, writer: Incarnation, by: Incarnation, page: usize) -> String {
    format!("{RECORDS}{day}/{writer}/{by}-{page:03}")
}

/// Returns the prefix of all pages of `writer`'s record.
pub fn record_prefix(day: Day, writer: Incarnation) -> String {
    format!("{RECORDS}{day}/{writer}/")
}

/// Reads day and writer from the key of a page.
pub fn parse_page_key(key: &str) -> Option<(Day, Incarnation)> {
    let mut parts = key.strip_prefix(RECORDS)?.split('/');
    let day = parts.next()?.parse().ok()?;
    let writer = u64::from_str_radix(parts.next()?, 16).ok()?;
    Some((Day(day), Incarnation(writer)))
}

/// Returns the key of a part of a day's total.
pub fn total_key(day: Day, shard: u8) -> String {
    format!("{TOTALS}{day}/{shard:02}")
}

/// Reads day and part from the key of a total.
pub fn parse_total_key(key: &str) -> Option<(Day, u8)> {
    let (day, shard) = key.strip_prefix(TOTALS)?.split_once('/')?;
    Some((Day(day.parse().ok()?), shard.parse().ok()?))
}

/// Returns the part of a day's total in which an organisation's lines stand.
pub fn shard(key: &LineKey) -> u8 {
    let digest = blake3::hash(key.organisation.as_str().as_bytes());
    digest.as_bytes()[0] % SHARDS
}
