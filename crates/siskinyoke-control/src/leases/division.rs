//! How a resource is divided among instances.

use siskinyoke_base::message::LeaseDemand;

/// Divides `total` units by what each instance wants, the highest tier first.
///
/// Within a tier those with the least so far are raised first, so that a large demand cannot
/// take all of what is short. The last entry of each line is its wish for spare room, behind
/// every tier of every line.
pub fn divide(total: u32, lines: &[&LeaseDemand]) -> Vec<u32> {
    let mut shares = vec![0; lines.len()];
    let mut goals = vec![0; lines.len()];
    let ranks = lines.iter().map(|line| line.wanted.len()).max();
    let ranks = ranks.unwrap_or(0);
    let mut left = total;
    for rank in 0..ranks {
        for (goal, line) in goals.iter_mut().zip(lines) {
            let wanted = wanted(line, rank, ranks);
            *goal = wanted.saturating_add(*goal);
        }
        left = raise(&mut shares, &goals, left);
    }
    shares
}

fn wanted(line: &LeaseDemand, rank: usize, ranks: usize) -> u32 {
    let Some((spare, tiers)) = line.wanted.split_last() else {
        return 0;
    };
    if rank + 1 == ranks {
        return *spare;
    }
    tiers.get(rank).copied().unwrap_or(0)
}

/// Raises shares towards their goals, the lowest first, and returns what is left.
fn raise(shares: &mut [u32], goals: &[u32], left: u32) -> u32 {
    let level = level(shares, goals, left);
    let mut left = left;
    for (share, goal) in shares.iter_mut().zip(goals) {
        let raised = level.min(*goal).max(*share);
        left -= raised - *share;
        *share = raised;
    }
    // What is left is less than one for each that stands at the level.
    for (share, goal) in shares.iter_mut().zip(goals) {
        if left > 0 && *share == level && *share < *goal {
            *share += 1;
            left -= 1;
        }
    }
    left
}

/// Finds the highest level to which all shares can be raised, by halving.
fn level(shares: &[u32], goals: &[u32], left: u32) -> u32 {
    let cost = |level: u32| -> u64 {
        let raised = shares.iter().zip(goals);
        let raised = raised.map(|(share, goal)| level.min(*goal).saturating_sub(*share));
        raised.map(u64::from).sum()
    };
    let mut low = 0;
    let mut high = goals.iter().copied().max().unwrap_or(0);
    while low < high {
        let middle = low + (high - low).div_ceil(2);
        if cost(middle) <= u64::from(left) {
            low = middle;
        } else {
            high = middle - 1;
        }
    }
    low
}
