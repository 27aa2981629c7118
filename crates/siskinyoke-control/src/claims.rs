//! Claims in the platform's service, for keyed requests that come without a ticket.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::Context;
use crate::OpId;
use crate::PlatformError;
use crate::PlatformReply;
use crate::PlatformRequest;
use crate::Reply;
use crate::Sender;
use crate::usage::Day;
use siskinyoke_base::Identity;
use siskinyoke_base::Millis;

/// Where claims stand in the platform's service.
pub const CLAIM_PREFIX: &str = "siskinyoke/claims/";

/// Claims a second that the whole fleet may make: under a third of the several hundred writes a
/// second that the service gives, however many daemons there are.
const CLAIM_RATE: f64 = 80.0;

/// The least fleet that the budget is shared by; a daemon that sees few others may be one of many
/// that were cut off from each other.
const LEAST_FLEET: f64 = 8.0;

/// Days for which a claim is kept: a caller may send the same key again for at least so long.
const CLAIM_DAYS: u32 = 2;

/// Span between two sweeps of old claims.
const SWEEP_GAP: Millis = Millis::from_secs(60);

/// The most claims looked at in one sweep, so that a sweep stays one small call.
const SWEEP_CLAIMS: u32 = 200;

/// Claims that may be made at once after a quiet time.
const CLAIM_BURST: f64 = 20.0;

/// Makes claims by compare-and-swap and says whose they are.
///
/// A claim carries no lease: a lease can lapse while its holder is frozen, and the next sending
/// would then claim and run the request a second time.
#[derive(Debug)]
pub struct Claims {
    me: Sender,
    pending: BTreeMap<OpId, Pending>,
    outcomes: Vec<(Identity, ClaimOutcome)>,
    today: Day,
    sweeping: Option<OpId>,
    swept: Millis,
    fleet: f64,
    tokens: f64,
    filled: Millis,
}

/// Whose a claim is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// It was made here.
    Mine,
    /// Another daemon start holds it.
    Other(Sender),
    /// This daemon start made it earlier and has no record of it any more.
    Forgotten,
    /// The service could not be asked; the request was not run and stays idle here.
    Failed,
}

/// A claim as stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct ClaimDoc {
    instance: String,
    incarnation: u64,
    /// The day of the claim, in universal time; 0 if it was not known.
    day: u32,
    /// Tells one claim of a daemon start from an earlier one for the same key.
    nonce: u64,
}

#[derive(Debug, Clone)]
struct Pending {
    identity: Identity,
    doc: ClaimDoc,
    /// Whether the first answer was lost and this is the look at what came of it.
    reread: bool,
}

impl Claims {
    /// Makes the controller for one daemon start.
    pub fn new(me: Sender) -> Self {
        Self {
            me,
            pending: BTreeMap::new(),
            outcomes: Vec::new(),
            today: Day::default(),
            sweeping: None,
            swept: Millis::ZERO,
            fleet: LEAST_FLEET,
            tokens: CLAIM_BURST,
            filled: Millis::ZERO,
        }
    }

    /// Begins a claim; returns false if the write budget is used up.
    pub fn begin(&mut self, cx: &mut Context<'_>, identity: &Identity) -> bool {
        if !self.spend(cx.now) {
            return false;
        }
        let doc = ClaimDoc {
            instance: self.me.instance.as_str().to_owned(),
            incarnation: self.me.incarnation.0,
            day: self.today.0,
            nonce: cx.rng.next_u64(),
        };
        let request = PlatformRequest::Swap {
            key: claim_key(identity),
            expected: 0,
            value: encode(&doc),
            lease: None,
        };
        let op = cx.out.platform(request);
        self.pending.insert(
            op,
            Pending {
                identity: identity.clone(),
                doc,
                reread: false,
            },
        );
        true
    }

    /// Sets how many instances share the budget.
    pub fn set_fleet(&mut self, live: usize) {
        self.fleet = f64::from(u32::try_from(live).unwrap_or(u32::MAX)).max(LEAST_FLEET);
    }

    /// Sets the present day.
    pub fn set_day(&mut self, today: Day) {
        self.today = today;
    }

    /// Removes claims that no caller may come back for; called by one daemon of the fleet.
    ///
    /// Without it the service's keys grow with every plain request that was ever claimed.
    pub fn sweep(&mut self, cx: &mut Context<'_>) {
        if cx.now.since(self.swept) < SWEEP_GAP || self.today == Day::default() {
            return;
        }
        self.swept = cx.now;
        let prefix = CLAIM_PREFIX.to_owned();
        let limit = SWEEP_CLAIMS;
        self.sweeping = Some(cx.out.platform(PlatformRequest::List { prefix, limit }));
    }

    /// Takes the platform's answer; returns false if the request was another controller's.
    pub fn reply(&mut self, cx: &mut Context<'_>, op: OpId, reply: &Reply) -> bool {
        if self.sweeping == Some(op) {
            self.sweeping = None;
            self.remove_old(cx, reply);
            return true;
        }
        let Some(pending) = self.pending.remove(&op) else {
            return false;
        };
        let outcome = match reply {
            Ok(PlatformReply::Swapped { done: true, .. }) => ClaimOutcome::Mine,
            Ok(
                PlatformReply::Swapped {
                    current: Some(current),
                    ..
                }
                | PlatformReply::Value(Some(current)),
            ) => self.judge(&pending, &current.value),
            // The answer was lost, so the write may have landed: look before saying anything.
            Err(PlatformError::Lost(_)) if !pending.reread => {
                let key = claim_key(&pending.identity);
                let op = cx.out.platform(PlatformRequest::Get { key });
                self.pending.insert(
                    op,
                    Pending {
                        reread: true,
                        ..pending
                    },
                );
                return true;
            }
            _ => ClaimOutcome::Failed,
        };
        self.outcomes.push((pending.identity, outcome));
        true
    }

    /// Takes out the claims decided since last asked.
    pub fn outcomes(&mut self) -> Vec<(Identity, ClaimOutcome)> {
        std::mem::take(&mut self.outcomes)
    }

    fn remove_old(&self, cx: &mut Context<'_>, reply: &Reply) {
        let Ok(PlatformReply::Values(values)) = reply else {
            return;
        };
        for value in values {
            let Ok(doc) = serde_json::from_slice::<ClaimDoc>(&value.value) else {
                continue;
            };
            if doc.day > 0 && doc.day + CLAIM_DAYS < self.today.0 {
                let (key, expected) = (value.key.clone(), value.version);
                // Nobody waits for the answer: what was not removed is found next time.
                cx.out.platform(PlatformRequest::Remove { key, expected });
            }
        }
    }

    fn judge(&self, pending: &Pending, value: &Bytes) -> ClaimOutcome {
        let Ok(doc) = serde_json::from_slice::<ClaimDoc>(value) else {
            return ClaimOutcome::Failed;
        };
        if doc == pending.doc {
            return ClaimOutcome::Mine;
        }
        if doc.incarnation == self.me.incarnation.0 {
            return ClaimOutcome::Forgotten;
        }
        ClaimOutcome::Other(Sender {
            instance: doc.instance.as_str().into(),
            incarnation: siskinyoke_base::Incarnation(doc.incarnation),
        })
    }

    fn spend(&mut self, now: Millis) -> bool {
        let refill = now.since(self.filled).as_secs() * CLAIM_RATE / self.fleet;
        self.tokens = (self.tokens + refill).min(CLAIM_BURST);
        self.filled = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Returns the key of a claim; the caller's key is digested, as it may hold anything.
fn claim_key(identity: &Identity) -> String {
    let digest = blake3::hash(identity.key.as_bytes()).to_hex();
    format!("{CLAIM_PREFIX}{}/{digest}", identity.organisation)
}

fn encode(doc: &ClaimDoc) -> Bytes {
    Bytes::from(serde_json::to_vec(doc).expect("a claim has no map with odd keys"))
}
