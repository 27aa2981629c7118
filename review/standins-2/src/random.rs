//! Random numbers.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;

/// A generator of random numbers, seeded by the operating system.
#[derive(Debug)]
pub struct Random(u64);

impl Default for Random {
    fn default() -> Self {
        Self(RandomState::new().hash_one(0) | 1)
    }
}

impl Random {
    /// Returns a number below `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % limit
    }

    /// Returns an index below a length.
    pub fn index(&mut self, length: usize) -> usize {
        let limit = u64::try_from(length).expect("lengths are small");
        usize::try_from(self.below(limit)).expect("it is below the length")
    }
}
