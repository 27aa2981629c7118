//! Pages: immutable parts of a configuration, each well under the service's value limit.

use std::collections::BTreeMap;
use std::fmt::Display;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::PageDigest;

/// The most bytes a page may take; half of the 1 MiB that the service holds in a value.
pub const PAGE_LIMIT: usize = 512 * 1024;

/// How many entries a bucket holds before the number of buckets doubles.
///
/// A change sends every daemon one page and the manifest. More entries make longer pages, fewer
/// make a longer manifest; docs/design/configuration.md has the figures.
const BUCKET_ENTRIES: usize = 64;

/// The most buckets; their digests keep the manifest under 300 KB.
const BUCKETS_MAX: usize = 4096;

/// What makes a page unlike any page of another change.
///
/// A page that has left the manifest is removed later. If a later change could name it again
/// by writing the same content, its removal would leave that change without a page. So the
/// first line of each page names the change, and a page's digest never comes back.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct PageOrigin<'a> {
    /// The revision that the change makes.
    pub revision: u64,
    /// The identity of the change.
    pub change: &'a str,
    /// Digest of what was asked, should an identity be used for two changes.
    pub content: &'a str,
}

/// Writes a page, or takes the old one if its body is the same.
///
/// # Panics
///
/// Never: bodies are plain JSON.
pub fn write<T: Serialize>(origin: PageOrigin<'_>, body: &T, old: Option<&Bytes>) -> Bytes {
    let body = serde_json::to_vec(body).expect("a page is plain JSON");
    if let Some(old) = old
        && body_of(old) == Some(body.as_slice())
    {
        return old.clone();
    }
    let mut bytes = serde_json::to_vec(&origin).expect("an origin is plain JSON");
    bytes.push(b'\n');
    bytes.extend_from_slice(&body);
    Bytes::from(bytes)
}

/// Reads a page's body; nothing if it is damaged.
pub fn read<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    serde_json::from_slice(body_of(bytes)?).ok()
}

/// Splits entries into buckets, so that a change of one entry rewrites one page.
///
/// The number of buckets only grows, by doubling, which rewrites them all but is rare.
pub fn split<K, V>(entries: &BTreeMap<K, V>, least: usize) -> Vec<BTreeMap<&K, &V>>
where
    K: Ord + Display + Serialize,
    V: Serialize,
{
    let wanted = entries.len().div_ceil(BUCKET_ENTRIES).next_power_of_two();
    let mut count = wanted.max(least).min(BUCKETS_MAX);
    loop {
        let buckets = distribute(entries, count);
        if count == BUCKETS_MAX || buckets.iter().all(fits) {
            return buckets;
        }
        count *= 2;
    }
}

fn distribute<K, V>(entries: &BTreeMap<K, V>, count: usize) -> Vec<BTreeMap<&K, &V>>
where
    K: Ord + Display,
{
    let mut buckets = vec![BTreeMap::new(); count];
    for (key, value) in entries {
        let digest = PageDigest::of(key.to_string().as_bytes());
        let low = usize::from(u16::from_le_bytes([digest.0[0], digest.0[1]]));
        buckets[low % count].insert(key, value);
    }
    buckets
}

fn fits<V: Serialize>(bucket: &V) -> bool {
    serde_json::to_vec(bucket).is_ok_and(|body| body.len() < PAGE_LIMIT)
}

fn body_of(bytes: &[u8]) -> Option<&[u8]> {
    let end = bytes.iter().position(|byte| *byte == b'\n')?;
    Some(&bytes[end + 1..])
}
