//! One accepted request on its way through the daemon.

use std::sync::Arc;

use super::ending::Past;
use crate::CallId;
use crate::DispatchId;
use crate::Sender;
use crate::configuration::Resolved;
use crate::configuration::View;
use siskinyoke_base::CallClass;
use siskinyoke_base::CallHead;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Identity;
use siskinyoke_base::Millis;
use siskinyoke_base::TierName;
use siskinyoke_base::message::Part;
use siskinyoke_policy::Work;
use siskinyoke_policy::WorkId;

/// A request that was let in and has no final answer yet.
#[derive(Debug)]
pub struct Job {
    /// What the caller sent.
    pub head: CallHead,
    /// What the configuration says of it.
    pub resolved: Resolved,
    /// The revision that it is wholly decided under.
    pub view: Arc<View>,
    /// Its identity, if it came with a key.
    pub identity: Option<Identity>,
    /// Digest of its content.
    pub digest: [u8; 32],
    /// Who gets its answer.
    pub listeners: Vec<Listener>,
    /// When it arrived.
    pub arrived: Millis,
    /// Until when its answer is useful.
    pub deadline: Millis,
    /// Where it runs now.
    pub run: Option<Run>,
    /// What may have happened to it so far.
    pub past: Past,
    /// The parts of its answer that are kept.
    pub parts: Vec<Part>,
    /// The number of the next part to give to the listeners.
    pub seq: u32,
    /// Whole events of a stream that the listeners have.
    pub events: u32,
    /// Events of a stream that carry text, which stand for its tokens where nothing counts them.
    pub tokens: u32,
    /// Whether its answer is given on as it comes rather than whole.
    pub streaming: bool,
    /// When the first piece of its answer came.
    pub first: Option<Millis>,
    /// The endpoint that had it last.
    pub last: Option<EndpointId>,
    /// Dispatches so far of which a first byte may have left.
    pub attempts: usize,
    /// Dispatches so far that met no connection.
    pub misses: usize,
    /// Endpoints that failed it.
    pub avoid: Vec<EndpointId>,
}

/// A dispatch under way.
#[derive(Debug, Clone)]
pub struct Run {
    /// Its number.
    pub dispatch: DispatchId,
    /// The endpoint.
    pub endpoint: EndpointId,
}

/// Who gets an answer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Listener {
    /// A caller connected here.
    Call(CallId),
    /// A peer whose caller's request was forwarded here.
    Peer {
        /// The peer's start, as another start of it uses the same numbers for other callers.
        peer: Sender,
        /// The peer's number of the request.
        id: u64,
    },
}

impl Job {
    /// Describes the job to the policy; `apart` if it may crash endpoints.
    pub fn work(&self, id: WorkId, apart: bool) -> Work {
        Work {
            id,
            organisation: self.resolved.organisation.clone(),
            rank: self.resolved.rank,
            protected: self.resolved.protected,
            arrived: self.arrived,
            deadline: self.deadline,
            target: self.head.route.target().clone(),
            prompt: self.head.prompt,
            output: self.head.output,
            stream: self.head.stream,
            prefix: self.head.prefix.clone(),
            class: self.resolved.class,
            apart,
            avoid: self.avoid.clone(),
        }
    }

    /// Tells whether it may be dispatched again after a dispatch that may have run.
    pub fn repeatable(&self) -> bool {
        self.resolved.class == CallClass::Idempotent
    }

    /// Returns the name that endpoints count it by.
    pub fn name(&self, id: WorkId) -> String {
        match &self.identity {
            Some(identity) => identity.to_string(),
            None => format!("{}/{}", self.resolved.organisation, id.0),
        }
    }

    /// Returns its tier's name.
    pub fn tier(&self) -> Option<&TierName> {
        let tier = self.view.doc.tiers.get(usize::from(self.resolved.rank));
        tier.map(|tier| &tier.name)
    }

    /// Returns the HTTP status of its answer so far.
    pub fn status(&self) -> u16 {
        match self.parts.first() {
            Some(Part::Head { status, .. }) => *status,
            _ => 0,
        }
    }

    /// Adds the endpoints that cannot resume a stream to those avoided; returns false if no
    /// endpoint is left.
    pub fn avoid_unable(&mut self) -> bool {
        let target = self.head.route.target();
        let mut able = false;
        for (id, doc) in &self.view.doc.endpoints {
            if !doc.targets.contains(target) {
                continue;
            }
            able |= doc.resume;
            if !doc.resume && !self.avoid.contains(id) {
                self.avoid.push(id.clone());
            }
        }
        able
    }
}
