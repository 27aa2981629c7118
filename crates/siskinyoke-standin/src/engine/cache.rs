//! The prefix cache, which tracks the leading blocks of recent prompts.

use std::collections::BTreeMap;

use siskinyoke_base::Map;

/// Bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Tokens per block; a common block size of model engines.
const BLOCK_TOKENS: usize = 16;

/// An LRU cache of prompt blocks, identified by the digest of the prompt up to their end.
#[derive(Debug)]
pub struct PrefixCache {
    max_blocks: usize,
    use_count: u64,
    last_uses: Map<u64, u64>,
    use_order: BTreeMap<u64, u64>,
}

/// How much of a prompt was cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheLookup {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Leading tokens that are cached and need no prefill.
    pub cached_tokens: u32,
}

impl PrefixCache {
    /// Creates a cache of at most `max_blocks` blocks.
    pub fn new(max_blocks: usize) -> Self {
        Self {
            max_blocks,
            use_count: 0,
            last_uses: Map::default(),
            use_order: BTreeMap::new(),
        }
    }

    /// Looks up the cached prefix of a prompt, then inserts all its blocks.
    pub fn lookup(&mut self, prompt: &str) -> CacheLookup {
        let digests = prefix_digests(prompt);
        let cached = digests
            .iter()
            .take_while(|digest| self.last_uses.contains_key(digest));
        let cached_blocks = cached.count();
        for digest in digests {
            self.record_use(digest);
        }
        let tokens = prompt.len().div_ceil(BYTES_PER_TOKEN);
        CacheLookup {
            prompt_tokens: saturating_u32(tokens),
            cached_tokens: saturating_u32((cached_blocks * BLOCK_TOKENS).min(tokens)),
        }
    }

    /// Returns the ratio of blocks in use, from 0 to 1.
    #[expect(
        clippy::cast_precision_loss,
        reason = "caches stay far below 2^52 blocks"
    )]
    pub fn usage(&self) -> f64 {
        if self.max_blocks == 0 {
            return 0.0;
        }
        self.last_uses.len() as f64 / self.max_blocks as f64
    }

    fn record_use(&mut self, digest: u64) {
        self.use_count += 1;
        if let Some(previous_use) = self.last_uses.insert(digest, self.use_count) {
            self.use_order.remove(&previous_use);
        }
        self.use_order.insert(self.use_count, digest);
        while self.last_uses.len() > self.max_blocks {
            let Some((_, least_recent)) = self.use_order.pop_first() else {
                return;
            };
            self.last_uses.remove(&least_recent);
        }
    }
}

/// Returns a digest for each full block that covers the prompt up to the block's end, so that
/// equal digests mean equal prefixes.
fn prefix_digests(prompt: &str) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    let blocks = prompt
        .as_bytes()
        .chunks_exact(BLOCK_TOKENS * BYTES_PER_TOKEN);
    let digests = blocks.map(|block| {
        hasher.update(block);
        let digest = hasher.finalize();
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&digest.as_bytes()[..8]);
        u64::from_le_bytes(prefix)
    });
    digests.collect()
}

fn saturating_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
