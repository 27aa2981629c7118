//! Selection of the instances that callers are referred to.

use crate::report::InstanceLocation;

/// The minimum number of instances returned to a caller, if that many are ready.
///
/// Callers cache the response for seconds. With a single instance they would have none left if it
/// stopped.
const MIN_INSTANCES: usize = 2;

/// The maximum number of instances returned to a caller.
const MAX_INSTANCES: usize = 64;

/// Selects the ready instances that a caller in a data centre is referred to.
///
/// Only instances of the caller's own data centre are returned if there are at least two of them,
/// because traffic between data centres is the most expensive.
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
