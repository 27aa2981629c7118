//! The prefix cache: which leading blocks of prompts an engine still holds.

use std::collections::BTreeMap;

use siskinyoke_base::Map;

/// Characters of a prompt that count as one token.
const CHARS_PER_TOKEN: usize = 4;

/// Tokens of a block, as engines commonly have it.
const BLOCK_TOKENS: usize = 16;

/// Holds the blocks last used, within a bound.
#[derive(Debug)]
pub struct PrefixCache {
    limit: usize,
    uses: u64,
    blocks: Map<u64, u64>,
    order: BTreeMap<u64, u64>,
}

/// How much of a prompt the cache held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hit {
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Tokens of them that need no work.
    pub cached: u32,
}

impl PrefixCache {
    /// Makes a cache of so many blocks.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            uses: 0,
            blocks: Map::default(),
            order: BTreeMap::new(),
        }
    }

    /// Looks a prompt up and takes its blocks in.
    pub fn take(&mut self, prompt: &str) -> Hit {
        let digests = digests(prompt);
        let known = digests
            .iter()
            .take_while(|digest| self.blocks.contains_key(digest));
        let held = known.count();
        for digest in digests {
            self.touch(digest);
        }
        let tokens = prompt.len().div_ceil(CHARS_PER_TOKEN);
        Hit {
            tokens: narrow(tokens),
            cached: narrow((held * BLOCK_TOKENS).min(tokens)),
        }
    }

    /// Returns the share of the cache in use, from 0 to 1.
    #[expect(
        clippy::cast_precision_loss,
        reason = "caches stay far below 2^52 blocks"
    )]
    pub fn usage(&self) -> f64 {
        if self.limit == 0 {
            return 0.0;
        }
        self.blocks.len() as f64 / self.limit as f64
    }

    fn touch(&mut self, digest: u64) {
        self.uses += 1;
        if let Some(before) = self.blocks.insert(digest, self.uses) {
            self.order.remove(&before);
        }
        self.order.insert(self.uses, digest);
        while self.blocks.len() > self.limit {
            let Some((_, oldest)) = self.order.pop_first() else {
                return;
            };
            self.blocks.remove(&oldest);
        }
    }
}

/// Chains a digest over each whole block, so that equal digests mean equal beginnings.
fn digests(prompt: &str) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    let blocks = prompt
        .as_bytes()
        .chunks_exact(BLOCK_TOKENS * CHARS_PER_TOKEN);
    let chain = blocks.map(|block| {
        hasher.update(block);
        let digest = hasher.finalize();
        let mut head = [0; 8];
        head.copy_from_slice(&digest.as_bytes()[..8]);
        u64::from_le_bytes(head)
    });
    chain.collect()
}

fn narrow(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
