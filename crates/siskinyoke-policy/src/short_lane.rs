//! Endpoints that long work leaves to short work.
//!
//! Load pattern: work a hundred times longer than the rest. Its prompt holds up an endpoint for
//! seconds, and short work behind it misses its need. Every daemon takes the same endpoints, the
//! slowest with prompts, which long work can use least; so the room is kept without any message.
//! Long work still goes there when it would cost it half as much as elsewhere.

use std::collections::BTreeSet;

use crate::EndpointSpec;
use crate::units;
use siskinyoke_base::EndpointId;

/// The share of endpoints that are left: a quarter of today's twelve carries short work of a
/// fifth of the load with room to spare.
const SHARE: f64 = 0.25;

/// Returns the endpoints left to short work, of those that offer its target.
pub(crate) fn endpoints<'a>(
    offering: impl Iterator<Item = &'a EndpointSpec>,
) -> BTreeSet<EndpointId> {
    let mut slowest: Vec<_> = offering.map(|spec| (spec.prefill, &spec.id)).collect();
    slowest.sort();
    let len = units::floor(f64::from(units::count(slowest.len())) * SHARE);
    let kept = slowest.into_iter().take(len as usize);
    kept.map(|(_, id)| id.clone()).collect()
}
