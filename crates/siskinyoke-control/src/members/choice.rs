//! Choices by rendezvous hash, which all daemons with the same view make alike.

use siskinyoke_base::InstanceId;
use siskinyoke_base::message::Resource;

/// Hashes an instance's name once; [`score`] mixes it with what is chosen for.
pub fn seed(instance: &InstanceId) -> u64 {
    digest(b"instance", instance.as_str())
}

/// Hashes the name of a resource.
pub fn resource_hash(resource: &Resource) -> u64 {
    match resource {
        Resource::Endpoint(id) => digest(b"endpoint", id.as_str()),
        Resource::Allowance(id) => digest(b"allowance", id.as_str()),
    }
}

/// Scores one candidate; the highest score is chosen.
pub fn score(seed: u64, subject: u64) -> u64 {
    // The finaliser of SplitMix64: two multiplications a candidate, where a cryptographic hash
    // would cost some hundred times as much for each of 370 candidates.
    let mut mixed = seed ^ subject.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns the candidate that follows `own` on a ring that is ordered by score.
///
/// On each ring every member has exactly one successor and one predecessor.
pub fn successor<'a, T>(
    own: u64,
    ring: u64,
    candidates: impl Iterator<Item = (u64, &'a T)>,
) -> Option<&'a T> {
    let origin = score(own, ring);
    candidates
        .min_by_key(|(seed, _)| score(*seed, ring).wrapping_sub(origin))
        .map(|(_, candidate)| candidate)
}

fn digest(kind: &[u8], name: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(kind);
    hasher.update(name.as_bytes());
    let mut head = [0; 8];
    head.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(head)
}
