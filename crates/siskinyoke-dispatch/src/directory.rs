//! Which instances a caller is told to use.

use crate::report::InstanceLocation;

/// The fewest instances named to a caller, where there are so many.
///
/// Callers keep the answer for seconds: with one name only, its end would leave them with none.
const MIN_INSTANCES: usize = 2;

/// The most instances named to a caller.
const MAX_INSTANCES: usize = 64;

/// Chooses among the ready instances those that a caller of a data centre is told to use.
///
/// Instances of the caller's own data centre come alone where there are two or more, as bytes
/// between data centres cost most.
pub fn select_instances<'a>(
    centre: &str,
    ready: impl Iterator<Item = &'a InstanceLocation>,
) -> Vec<String> {
    let ready: Vec<&InstanceLocation> = ready.collect();
    let local: Vec<&&InstanceLocation> = ready.iter().filter(|it| it.centre == centre).collect();
    let mut addresses: Vec<String> = if local.len() >= MIN_INSTANCES {
        local.iter().map(|it| it.caller_address.clone()).collect()
    } else {
        ready.iter().map(|it| it.caller_address.clone()).collect()
    };
    addresses.sort();
    addresses.truncate(MAX_INSTANCES);
    addresses
}
