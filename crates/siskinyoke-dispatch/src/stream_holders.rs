//! Which instances hold the record of a stream.
//!
//! All instances rank each other by a hash of the stream's key, apart for each data centre. The
//! instance at which the stream begins tells the first one of its own data centre, which is near,
//! and of another one, which outlives the loss of the first. An instance to which the caller
//! returns does not know where the stream began, so it asks the first ones of all data centres.

use std::collections::BTreeMap;

use crate::report::InstanceLocation;
use crate::stream_key::StreamKey;

/// The number of other instances that are told of a stream.
///
/// The record outlives the loss of the instance at which the stream began, and of one more.
const HOLDER_COUNT: usize = 2;

/// The number of instances that are asked in each data centre.
///
/// The lists of instances may differ for a while: where one has joined since, the one that was told
/// is the second.
const ASKED_PER_CENTRE: usize = 2;

/// The maximum number of instances that are asked first.
const MAX_FIRST_ASKED: usize = 8;

/// The maximum number of instances that are asked if none of the first ones knows.
const MAX_OTHERS_ASKED: usize = 64;

/// Returns the instances that an instance of a data centre tells of a stream, of the others that it
/// knows.
pub fn holders<'a>(
    key: StreamKey,
    own_centre: &str,
    others: impl Iterator<Item = &'a InstanceLocation>,
) -> Vec<&'a InstanceLocation> {
    let mut centres = ranked_by_centre(key, others);
    centres.sort_by_key(|it| it[0].centre != own_centre);
    let first = centres.iter().filter_map(|it| it.first());
    let second = centres.iter().filter_map(|it| it.get(1));
    first.chain(second).take(HOLDER_COUNT).copied().collect()
}

/// Returns the instances to ask for the record of a stream: those that are likely to hold it, and
/// all others up to a limit, one of which may be the one at which the stream began.
pub fn instances_to_ask<'a>(
    key: StreamKey,
    others: impl Iterator<Item = &'a InstanceLocation>,
) -> (Vec<&'a InstanceLocation>, Vec<&'a InstanceLocation>) {
    let centres = ranked_by_centre(key, others);
    let mut first = Vec::new();
    let mut rest = Vec::new();
    for centre in &centres {
        let asked = ASKED_PER_CENTRE.min(centre.len());
        first.extend_from_slice(&centre[..asked]);
        rest.extend_from_slice(&centre[asked..]);
    }
    let excess = first.split_off(first.len().min(MAX_FIRST_ASKED));
    rest.splice(0..0, excess);
    rest.truncate(MAX_OTHERS_ASKED);
    (first, rest)
}

// Returns the instances of each data centre in their order for a stream, and the data centres in
// theirs.
fn ranked_by_centre<'a>(
    key: StreamKey,
    instances: impl Iterator<Item = &'a InstanceLocation>,
) -> Vec<Vec<&'a InstanceLocation>> {
    let mut centres: BTreeMap<&str, Vec<&InstanceLocation>> = BTreeMap::new();
    for instance in instances {
        centres.entry(&instance.centre).or_default().push(instance);
    }
    for instances in centres.values_mut() {
        instances.sort_by_cached_key(|it| rank(key, &it.peer_address));
        instances.dedup_by_key(|it| &it.peer_address);
    }
    let mut centres: Vec<_> = centres.into_values().collect();
    centres.sort_by_cached_key(|it| rank(key, &it[0].centre));
    centres
}

// Returns the place of an instance or a data centre in the order for a stream; the lowest is first.
fn rank(key: StreamKey, name: &str) -> (u64, &str) {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&key.0.to_le_bytes());
    hasher.update(name.as_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    (u64::from_le_bytes(bytes), name)
}
