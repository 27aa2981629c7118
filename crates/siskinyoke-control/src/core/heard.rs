//! The peers that spoke lately, whatever the members' view says of them.

use std::collections::BTreeMap;

use crate::Sender;
use siskinyoke_base::Incarnation;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;

/// How long a peer that spoke may be serving; the members' view has a live one by then, or has
/// found it dead.
const SPAN: Millis = Millis::from_secs(10);

/// When each peer last spoke.
///
/// Guards against protected work being refused beside lower work that a peer serves which is not
/// in the members' view: a start that was cut off since it began, or one counted as gone that
/// came back. It shows where such a peer forwards marking here while it serves batch work: its
/// message is proof that it is alive, before any heartbeat is exchanged.
#[derive(Debug, Default)]
pub struct Heard {
    starts: BTreeMap<InstanceId, (Incarnation, Millis)>,
}

impl Heard {
    /// Notes that a peer spoke.
    pub fn note(&mut self, now: Millis, from: &Sender) {
        let said = (from.incarnation, now);
        if self.starts.insert(from.instance.clone(), said).is_none() {
            self.starts.retain(|_, (_, at)| now.since(*at) < SPAN);
        }
    }

    /// Returns the peers that spoke lately.
    pub fn recent(&self, now: Millis) -> impl Iterator<Item = Sender> {
        let fresh = move |(_, at): &(Incarnation, Millis)| now.since(*at) < SPAN;
        let recent = self.starts.iter().filter(move |(_, said)| fresh(said));
        recent.map(|(instance, (incarnation, _))| Sender {
            instance: instance.clone(),
            incarnation: *incarnation,
        })
    }
}
