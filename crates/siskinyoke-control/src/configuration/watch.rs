//! When the service is asked for the manifest, and by which daemons.

use rand::Rng;

use crate::Context;
use crate::OpId;
use crate::PlatformReply;
use crate::Reply;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;

/// How many daemons watch the manifest.
///
/// One would do while it lives; three outlast the death of two between two views of the
/// members. A waiting watch counts as one call, so the service sees three at any fleet size.
pub const WATCHERS: usize = 3;

/// How long one watch waits at the service.
pub const WATCH_LIMIT: Millis = Millis::from_secs(30);

/// How long to wait after a watch that failed, so that an outage is not answered with a storm.
const WATCH_RETRY: Millis = Millis::from_secs(1);

/// How long a daemon that hears from nobody waits before it asks the service itself.
const SILENCE: Millis = Millis::from_secs(5);

/// How often the daemons that do not watch ask the service, all of them together.
///
/// Guards against watchers that are all cut off from the service, or a change whose daemon died
/// before it told anybody: nobody would learn of the accepted change. Each daemon asks once in
/// this time multiplied by the size of the fleet, so the service's load does not grow with it.
const POLL_SHARED: Millis = Millis::from_secs(3);

/// When this daemon asks the service for the manifest.
#[derive(Debug, Default)]
pub struct Watch {
    /// The version of the manifest's key that the service showed last.
    pub known: u64,
    watching: bool,
    waiting: Option<OpId>,
    fleet: u64,
    due: Millis,
    poll: Millis,
}

/// How the service is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ask {
    /// By a watch, which waits for the next change.
    Watch,
    /// Once.
    Read,
}

/// Says which of the live instances watch the manifest: those with the highest digests.
///
/// Every instance finds the same ones from the same view, and when one leaves only its place is
/// taken by another.
pub fn watchers(live: &[InstanceId]) -> Vec<InstanceId> {
    let mut ranked: Vec<_> = live
        .iter()
        .map(|id| (*blake3::hash(id.as_str().as_bytes()).as_bytes(), id))
        .collect();
    ranked.sort_unstable();
    ranked.dedup();
    let top = ranked.into_iter().rev().take(WATCHERS);
    top.map(|(_, id)| id.clone()).collect()
}

impl Watch {
    /// Says whether this daemon watches, and how many are live.
    pub fn set(&mut self, cx: &mut Context<'_>, watching: bool, live: usize) {
        if watching && !self.watching {
            self.due = cx.now;
        }
        self.watching = watching;
        let fleet = u64::try_from(live.max(1)).unwrap_or(u64::MAX);
        if fleet != self.fleet {
            self.fleet = fleet;
            self.draw_poll(cx);
        }
    }

    /// Returns when [`Watch::ask`] is to be called next.
    pub fn due(&self) -> Millis {
        self.due
    }

    /// Says how to ask now, if at all; `heard` is when anybody was last heard.
    pub fn ask(&mut self, cx: &mut Context<'_>, heard: Millis, empty: bool) -> Option<Ask> {
        if cx.now < self.due {
            return None;
        }
        // A watch that waits says nothing for half a minute. The last daemon that is left would
        // take that for being cut off, and refuse work although the service is well.
        let silent = cx.now.since(heard) >= SILENCE;
        if self.watching {
            let idle = self.waiting.is_none();
            self.due = cx.now + if silent && idle { WATCH_RETRY } else { SILENCE };
            return match (silent, idle) {
                (true, _) => Some(Ask::Read),
                (false, true) => Some(Ask::Watch),
                (false, false) => None,
            };
        }
        self.due = cx.now + SILENCE;
        if cx.now >= self.poll {
            self.draw_poll(cx);
            return Some(Ask::Read);
        }
        (empty || silent).then_some(Ask::Read)
    }

    /// Notes that a watch was sent.
    pub fn sent(&mut self, op: OpId) {
        self.waiting = Some(op);
    }

    /// Notes the answer to a request, which may have been the watch.
    pub fn answered(&mut self, now: Millis, op: OpId, reply: &Reply) {
        if self.waiting != Some(op) {
            return;
        }
        self.waiting = None;
        self.due = now;
        match reply {
            Ok(PlatformReply::Value(Some(found))) => self.known = found.version,
            Ok(_) => {}
            Err(_) => self.due = now + WATCH_RETRY,
        }
    }

    fn draw_poll(&mut self, cx: &mut Context<'_>) {
        let span = POLL_SHARED.0.saturating_mul(self.fleet.max(1));
        self.poll = cx.now + Millis(cx.rng.random_range(span / 2..=span + span / 2));
    }
}
