//! A stand-in for the allocators of capacity leases, with the same reports and grants.

use std::collections::BTreeMap;

use siskinyoke_base::message::LeaseDemand;
use siskinyoke_base::message::Resource;

/// Divides resources among instances, the highest tier first.
///
/// Within a tier one unit at a time goes to the instance with the fewest, so that a large demand
/// cannot take all of what is short. Who holds more than its part fills nothing new; who holds
/// less gets what is free already.
pub fn allocate(
    units: &BTreeMap<Resource, u32>,
    reports: &[Vec<LeaseDemand>],
) -> Vec<Vec<(Resource, u32)>> {
    let mut grants = vec![Vec::new(); reports.len()];
    for (resource, total) in units {
        let lines: Vec<Option<&LeaseDemand>> = reports
            .iter()
            .map(|report| report.iter().find(|line| line.resource == *resource))
            .collect();
        for (grant, shares) in grants.iter_mut().zip(divide(*total, &lines)) {
            grant.push((resource.clone(), shares));
        }
    }
    grants
}

fn divide(total: u32, lines: &[Option<&LeaseDemand>]) -> Vec<u32> {
    let held: Vec<u32> = lines
        .iter()
        .map(|line| line.map_or(0, |line| line.held))
        .collect();
    let mut shares = goals(total, lines);
    let in_use = shares
        .iter()
        .zip(&held)
        .map(|(share, held)| *share.max(held));
    let mut over = in_use.sum::<u32>().saturating_sub(total);
    while over > 0 {
        let growth = |at: &usize| shares[*at].saturating_sub(held[*at]);
        let Some(at) = (0..shares.len()).max_by_key(growth) else {
            return shares;
        };
        let cut = growth(&at).min((over / 64).max(1));
        if cut == 0 {
            return shares;
        }
        shares[at] -= cut;
        over -= cut;
    }
    shares
}

/// Returns each instance's part if nothing were held.
fn goals(total: u32, lines: &[Option<&LeaseDemand>]) -> Vec<u32> {
    let mut shares = vec![0; lines.len()];
    let mut goals = vec![0_u32; lines.len()];
    let mut left = total;
    let ranks = lines.iter().flatten().map(|line| line.wanted.len()).max();
    let ranks = ranks.unwrap_or(0);
    for rank in 0..ranks {
        for (goal, line) in goals.iter_mut().zip(lines) {
            let Some((spare, wanted)) = line.and_then(|line| line.wanted.split_last()) else {
                continue;
            };
            // The last entry of each line is its wish for spare room, behind every tier.
            let wanted = if rank + 1 == ranks {
                Some(spare)
            } else {
                wanted.get(rank)
            };
            *goal = goal.saturating_add(wanted.copied().unwrap_or(0));
        }
        left = fill(&mut shares, &goals, left);
    }
    shares
}

/// Gives single units to those furthest behind, until goals are met or nothing is left.
fn fill(shares: &mut [u32], goals: &[u32], left: u32) -> u32 {
    let mut left = left;
    while left > 0 {
        let short = (0..shares.len()).filter(|at| shares[*at] < goals[*at]);
        let Some(at) = short.min_by_key(|at| shares[*at]) else {
            return left;
        };
        let step = (left / 64).max(1).min(goals[at] - shares[at]);
        shares[at] += step;
        left -= step;
    }
    left
}
