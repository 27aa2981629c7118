//! Questions about what became of earlier changes.

use std::collections::BTreeMap;

use super::Manifest;
use super::Outcome;
use super::effect::Effect;
use super::effect::Known;
use super::manifest::MANIFEST_KEY;
use crate::CallId;
use crate::Context;
use crate::OpId;
use crate::PlatformReply;
use crate::PlatformRequest;
use crate::Reply;
use crate::platform::Versioned;

/// Questions for which the service is asked.
#[derive(Debug, Default)]
pub struct Lookups {
    open: BTreeMap<OpId, Lookup>,
}

/// One question.
#[derive(Debug)]
struct Lookup {
    call: CallId,
    id: String,
    after: Option<u64>,
    floor: u64,
}

impl Lookups {
    /// Answers from what is held, or asks the service.
    pub fn begin(
        &mut self,
        cx: &mut Context<'_>,
        call: CallId,
        id: &str,
        after: Option<u64>,
        known: Known<'_>,
        effects: &mut Vec<Effect>,
    ) {
        let held = known.held.and_then(|held| held.manifest.change(id));
        if let Some(made) = held {
            let revision = made.revision;
            effects.push(Effect::Done(call, Outcome::Accepted { revision }));
            return;
        }
        let key = MANIFEST_KEY.to_owned();
        let op = cx.out.platform(PlatformRequest::Get { key });
        let lookup = Lookup {
            call,
            id: id.to_owned(),
            after,
            floor: known.highest,
        };
        self.open.insert(op, lookup);
    }

    /// Takes the platform's answer; returns false if the request was another's.
    pub fn reply(&mut self, op: OpId, reply: &Reply, effects: &mut Vec<Effect>) -> bool {
        let Some(lookup) = self.open.remove(&op) else {
            return false;
        };
        let outcome = match reply {
            Ok(PlatformReply::Value(found)) => {
                effects.push(Effect::Shown {
                    floor: lookup.floor,
                    found: found.clone(),
                });
                lookup.judge(found.as_ref())
            }
            _ => lookup.unknown(),
        };
        effects.push(Effect::Done(lookup.call, outcome));
        true
    }
}

impl Lookup {
    /// Returns the outcome when the service cannot be asked.
    fn unknown(&self) -> Outcome {
        let base = self.after.unwrap_or(self.floor);
        Outcome::Unknown { base }
    }

    /// Judges by what the service holds.
    fn judge(&self, found: Option<&Versioned>) -> Outcome {
        let manifest = found.and_then(|found| Manifest::decode(&found.value));
        let Some(manifest) = manifest.filter(|manifest| manifest.revision >= self.floor) else {
            return self.unknown();
        };
        if let Some(made) = manifest.change(&self.id) {
            let revision = made.revision;
            return Outcome::Accepted { revision };
        }
        let next = self.after.and_then(|after| after.checked_add(1));
        let other = next.and_then(|next| manifest.made(next));
        other.map_or_else(
            || self.unknown(),
            |_| Outcome::Conflict {
                revision: manifest.revision,
            },
        )
    }
}
