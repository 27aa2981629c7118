//! The ledger of keyed requests that this daemon start owns.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use siskinyoke_base::Identity;
use siskinyoke_base::Millis;
use siskinyoke_base::message::End;
use siskinyoke_base::message::Part;
use siskinyoke_policy::WorkId;

/// What became of each keyed request, kept until no sending of it can arrive any more.
///
/// Guards against the second run of a request: a caller that got no answer sends it again, to
/// this instance or through another. Only the owner dispatches, and it dispatches only an
/// identity that stands here as [`Standing::Idle`]; memory is bounded by refusing new
/// identities, never by dropping one early.
#[derive(Debug)]
pub struct Ledger {
    entries: BTreeMap<Identity, Entry>,
    expiries: BTreeSet<(Millis, Identity)>,
    bodies: BTreeSet<(usize, Identity)>,
    bytes: usize,
    limits: LedgerLimits,
}

/// Bounds of the ledger's memory.
#[derive(Debug, Clone, Copy)]
pub struct LedgerLimits {
    /// The most identities held.
    pub entries: usize,
    /// The most bytes of finished answers held.
    pub bytes: usize,
}

/// One identity.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Digest of the content it came with first.
    pub digest: [u8; 32],
    /// How it stands.
    pub standing: Standing,
    /// When it may be dropped.
    pub expiry: Millis,
    /// Whether this daemon start holds its claim in the platform's service.
    pub claimed: bool,
}

/// How a keyed request stands.
#[derive(Debug, Clone)]
pub enum Standing {
    /// Known, and provably never dispatched.
    Idle,
    /// Its claim in the platform's service is being made.
    Claiming,
    /// It waits or runs.
    Running(WorkId),
    /// It ended after it may have reached an endpoint.
    Ended {
        /// How it ended.
        end: End,
        /// The parts of its answer before the end, if still held.
        parts: Option<Vec<Part>>,
    },
}

impl Ledger {
    /// Makes an empty ledger.
    pub fn new(limits: LedgerLimits) -> Self {
        Self {
            entries: BTreeMap::new(),
            expiries: BTreeSet::new(),
            bodies: BTreeSet::new(),
            bytes: 0,
            limits,
        }
    }

    /// Finds an identity.
    pub fn get(&self, id: &Identity) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// Counts the identities held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no identity is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Counts the bytes of answers held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds an identity as idle; returns false if the ledger is full.
    pub fn open(&mut self, id: &Identity, digest: [u8; 32], expiry: Millis) -> bool {
        if self.entries.len() >= self.limits.entries {
            return false;
        }
        let entry = Entry {
            digest,
            standing: Standing::Idle,
            expiry,
            claimed: false,
        };
        self.entries.insert(id.clone(), entry);
        self.expiries.insert((expiry, id.clone()));
        true
    }

    /// Notes that the claim of an identity is this daemon start's.
    pub fn claimed(&mut self, id: &Identity) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.claimed = true;
        }
    }

    /// Sets how an identity stands, other than ended.
    pub fn set(&mut self, id: &Identity, standing: Standing) {
        self.drop_body(id);
        if let Some(entry) = self.entries.get_mut(id) {
            entry.standing = standing;
        }
    }

    /// Records how an identity ended and holds its answer within the bound of memory.
    pub fn end(&mut self, id: &Identity, end: End, parts: Vec<Part>) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        let size = parts.iter().map(size_of_part).sum();
        entry.standing = Standing::Ended {
            end,
            parts: Some(parts),
        };
        self.bytes += size;
        self.bodies.insert((size, id.clone()));
        self.shrink();
    }

    /// Drops what can no longer be sent again.
    pub fn expire(&mut self, now: Millis) {
        while let Some((expiry, id)) = self.expiries.first().cloned() {
            if expiry > now {
                return;
            }
            self.expiries.remove(&(expiry, id.clone()));
            // Work still under way must keep its record, or a late resend would run again.
            if self.in_progress(&id) {
                let later = now + RECHECK;
                self.expiries.insert((later, id.clone()));
                if let Some(entry) = self.entries.get_mut(&id) {
                    entry.expiry = later;
                }
                continue;
            }
            self.drop_body(&id);
            self.entries.remove(&id);
        }
    }

    /// Returns when [`Ledger::expire`] has something to do.
    pub fn next(&self) -> Millis {
        self.expiries
            .first()
            .map_or(Millis::NEVER, |(expiry, _)| *expiry)
    }

    fn in_progress(&self, id: &Identity) -> bool {
        let standing = self.entries.get(id).map(|entry| &entry.standing);
        matches!(standing, Some(Standing::Running(_) | Standing::Claiming))
    }

    /// Drops the longest answers first, so that many short ones stay.
    fn shrink(&mut self) {
        while self.bytes > self.limits.bytes {
            let Some((_, id)) = self.bodies.last().cloned() else {
                return;
            };
            self.drop_body(&id);
        }
    }

    fn drop_body(&mut self, id: &Identity) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        let Standing::Ended { parts, .. } = &mut entry.standing else {
            return;
        };
        let Some(parts) = parts.take() else { return };
        let size = parts.iter().map(size_of_part).sum();
        self.bytes -= size;
        self.bodies.remove(&(size, id.clone()));
    }
}

/// How long to wait before looking again at work that outlives its expiry.
const RECHECK: Millis = Millis::from_secs(30);

fn size_of_part(part: &Part) -> usize {
    match part {
        Part::Piece(bytes) => bytes.len(),
        Part::Head { content, .. } => content.len(),
        Part::End(end) => end.detail.len(),
    }
}
