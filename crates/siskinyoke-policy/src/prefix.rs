//! Where prompt prefixes were last computed.
//!
//! Load pattern: one organisation's prompts share a long prefix. Without affinity each endpoint
//! computes it again; with unbounded affinity one endpoint gets the whole load. Own dispatches
//! are remembered rather than cache events, which come late and with gaps; a wrong memory costs
//! one prefill.

use std::collections::BTreeMap;

use siskinyoke_base::EndpointId;
use siskinyoke_base::Map;

/// The most blocks remembered: about 4 MB, and some hundred long prompts for each endpoint.
const BLOCKS: usize = 32_768;

/// Endpoints remembered for one block: a popular prefix spills over to a second and a third one
/// under load, and all of them stay useful.
const COPIES: usize = 3;

/// Remembers on which endpoints a block of a prompt was seen.
#[derive(Debug, Default)]
pub(crate) struct Prefixes {
    blocks: Map<u64, Block>,
    order: BTreeMap<u64, u64>,
    stamp: u64,
}

#[derive(Debug, Default)]
struct Block {
    at: Vec<EndpointId>,
    stamp: u64,
}

impl Prefixes {
    /// Returns the part of the prompt that an endpoint probably holds, from 0 to 1.
    pub(crate) fn held(&self, prefix: &[u64], endpoint: &EndpointId) -> f64 {
        let holds = |digest: &u64| {
            self.blocks
                .get(digest)
                .is_some_and(|block| block.at.contains(endpoint))
        };
        let Some(last) = prefix.iter().rposition(holds) else {
            return 0.0;
        };
        f64::from(crate::units::count(last + 1)) / f64::from(crate::units::count(prefix.len()))
    }

    /// Learns that an endpoint computes a prompt.
    pub(crate) fn learn(&mut self, prefix: &[u64], endpoint: &EndpointId) {
        for digest in prefix {
            self.touch(*digest, endpoint);
        }
        while self.blocks.len() > BLOCKS {
            let Some((_, digest)) = self.order.pop_first() else {
                return;
            };
            self.blocks.remove(&digest);
        }
    }

    /// Forgets an endpoint's blocks of a prompt, as its cache is gone.
    pub(crate) fn forget(&mut self, prefix: &[u64], endpoint: &EndpointId) {
        for digest in prefix {
            if let Some(block) = self.blocks.get_mut(digest) {
                block.at.retain(|id| id != endpoint);
            }
        }
    }

    fn touch(&mut self, digest: u64, endpoint: &EndpointId) {
        self.stamp += 1;
        let block = self.blocks.entry(digest).or_default();
        self.order.remove(&block.stamp);
        block.stamp = self.stamp;
        self.order.insert(self.stamp, digest);
        block.at.retain(|id| id != endpoint);
        block.at.insert(0, endpoint.clone());
        block.at.truncate(COPIES);
    }
}
