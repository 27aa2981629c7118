//! The chain of filters that a request passes before it becomes a job.

use super::ask::Ask;
use super::ask::Flow;
use super::ask::Origin;
use super::ask::Passed;
use super::ending::Past;
use super::ending::honest;
use super::roster::Roster;
use super::settings::CoreSettings;
use crate::Sender;
use crate::configuration::Resolved;
use crate::ledger::Entry;
use crate::ledger::Ledger;
use crate::ledger::Standing;
use siskinyoke_base::CallClass;
use siskinyoke_base::Code;
use siskinyoke_base::Identity;
use siskinyoke_base::Kind;
use siskinyoke_base::Millis;
use siskinyoke_base::Ticket;
use siskinyoke_base::message::End;

/// What filters may look at and change.
pub struct Desk<'a> {
    /// The present time.
    pub now: Millis,
    /// This daemon start.
    pub me: &'a Sender,
    /// The secret that this start seals its tickets with.
    pub secret: &'a [u8; 32],
    /// Bounds.
    pub settings: &'a CoreSettings,
    /// The other instances.
    pub roster: &'a dyn Roster,
    /// The ledger.
    pub ledger: &'a mut Ledger,
    /// Whether the daemon is leaving.
    pub leaving: bool,
    /// Whether neither the platform nor any peer was heard for some time.
    pub isolated: bool,
}

/// One step of the chain.
pub trait Filter: Send + Sync {
    /// Looks at a request and what the steps before found out.
    fn apply(&self, desk: &mut Desk<'_>, ask: &Ask, passed: Passed) -> Flow;
}

/// The chain, in its order.
pub const CHAIN: &[&dyn Filter] = &[&Known, &Identify, &Keyed, &Own, &Admit];

/// Takes a request through the chain.
pub fn run(desk: &mut Desk<'_>, ask: &Ask) -> Flow {
    let mut passed = Passed::default();
    for filter in CHAIN {
        match filter.apply(desk, ask, passed) {
            Flow::Next(next) => passed = next,
            other => return other,
        }
    }
    Flow::Next(passed)
}

/// Refuses everything while it is not known what is in force.
struct Known;

impl Filter for Known {
    fn apply(&self, desk: &mut Desk<'_>, ask: &Ask, passed: Passed) -> Flow {
        // An instance cut off from the service and from all peers may miss an accepted change
        // and would go on serving under a revision that is no longer in force.
        if ask.view.revision == 0 || desk.isolated {
            let end = End::new(Code::NoConfiguration).after(RETRY_SOON);
            // Nothing is known of its class here, so the more careful one counts.
            return Flow::End(honest(end, ask.past(CallClass::NonIdempotent)));
        }
        Flow::Next(passed)
    }
}

/// Finds organisation, tier, class and need.
struct Identify;

impl Filter for Identify {
    fn apply(&self, _desk: &mut Desk<'_>, ask: &Ask, passed: Passed) -> Flow {
        match ask.view.resolve(&ask.head) {
            Ok(resolved) => Flow::Next(Passed {
                resolved: Some(resolved),
                ..passed
            }),
            // A key or route that was taken away since does not unmake an earlier sending.
            Err(code) => Flow::End(honest(End::new(code), ask.past(CallClass::default()))),
        }
    }
}

/// Requires a key where a request without one could not be told from its resend.
struct Keyed;

impl Filter for Keyed {
    fn apply(&self, _desk: &mut Desk<'_>, ask: &Ask, passed: Passed) -> Flow {
        let class = class_of(&passed);
        let needed =
            class == CallClass::NonIdempotent || class == CallClass::AtMostOnce && ask.resent();
        if ask.head.key.is_none() && needed {
            return Flow::End(honest(End::new(Code::KeyRequired), ask.past(class)));
        }
        let past = ask.past(class);
        Flow::Next(Passed { past, ..passed })
    }
}

/// Finds the owner of a keyed request, and what became of it so far.
struct Own;

impl Filter for Own {
    fn apply(&self, desk: &mut Desk<'_>, ask: &Ask, passed: Passed) -> Flow {
        let Some(key) = &ask.head.key else {
            return Flow::Next(passed);
        };
        let Some(resolved) = passed.resolved.clone() else {
            return Flow::Next(passed);
        };
        let identity = Identity {
            organisation: resolved.organisation.clone(),
            owner: desk.me.incarnation,
            key: key.clone(),
        };
        match &ask.origin {
            Origin::Adopted { identity } => {
                let expiry = desk.now + desk.settings.ticket;
                return look_up(desk, ask, &passed, identity, Absent::Open(expiry));
            }
            Origin::Peer { claimed: true, .. } => {
                return look_up(desk, ask, &passed, &identity, Absent::End(Code::ClaimLost));
            }
            Origin::Peer { .. } | Origin::Caller => {}
        }
        match &ask.head.ticket {
            Some(text) => own_by_ticket(desk, ask, &passed, &identity, text, &resolved),
            None => own_by_claim(desk, ask, passed, &identity),
        }
    }
}

/// Turns new work away while the daemon is leaving.
struct Admit;

impl Filter for Admit {
    fn apply(&self, desk: &mut Desk<'_>, _ask: &Ask, passed: Passed) -> Flow {
        if !desk.leaving {
            return Flow::Next(passed);
        }
        Flow::End(honest(leaving(desk.roster), passed.past))
    }
}

/// Returns the refusal of a leaving daemon, with another address to use.
pub fn leaving(roster: &dyn Roster) -> End {
    let others = roster.others();
    let end = End::new(Code::Leaving).after(Millis::ZERO);
    End {
        address: others.first().map(|record| record.caller.clone()),
        ..end
    }
}

/// When to come back where the cause is expected to pass within seconds.
pub const RETRY_SOON: Millis = Millis::from_secs(1);

/// What to do with an identity that the ledger does not hold.
#[derive(Clone, Copy)]
enum Absent {
    /// Take it in as new, to be kept until the given time.
    Open(Millis),
    /// End with a code.
    End(Code),
}

fn class_of(passed: &Passed) -> CallClass {
    passed
        .resolved
        .as_ref()
        .map(|resolved| resolved.class)
        .unwrap_or_default()
}

fn own_by_ticket(
    desk: &mut Desk<'_>,
    ask: &Ask,
    passed: &Passed,
    identity: &Identity,
    text: &str,
    resolved: &Resolved,
) -> Flow {
    let Ok(ticket) = Ticket::parse(text) else {
        return Flow::End(honest(
            End::new(Code::WrongTicket),
            ask.past(resolved.class),
        ));
    };
    if ticket.owner != desk.me.incarnation {
        let owner = Sender {
            instance: ticket.instance,
            incarnation: ticket.owner,
        };
        return elsewhere(desk, ask, passed, identity, owner, resolved);
    }
    if !ticket.verify(desk.secret) {
        return Flow::End(honest(
            End::new(Code::WrongTicket),
            ask.past(resolved.class),
        ));
    }
    if desk.now < ticket.expiry {
        return look_up(
            desk,
            ask,
            passed,
            identity,
            Absent::Open(ticket.expiry + GRACE),
        );
    }
    // Past its expiry the ledger may have dropped the identity, so nothing may start under it.
    // Only a caller that says this is its first sending can be told "not run".
    let first = ask.head.retry == Some(0);
    let code = if first {
        Code::TicketExpired
    } else {
        Code::TicketLapsed
    };
    look_up(desk, ask, passed, identity, Absent::End(code))
}

/// How long an identity is kept past its ticket, for work that was sent at the last moment.
const GRACE: Millis = Millis::from_secs(60);

/// Decides about a request whose owner is another daemon start.
fn elsewhere(
    desk: &mut Desk<'_>,
    ask: &Ask,
    passed: &Passed,
    identity: &Identity,
    owner: Sender,
    resolved: &Resolved,
) -> Flow {
    let identity = Identity {
        owner: owner.incarnation,
        ..identity.clone()
    };
    // A request adopted here earlier stays here, so that its resends join it.
    if desk.ledger.get(&identity).is_some() {
        return look_up(desk, ask, passed, &identity, Absent::End(Code::OwnerGone));
    }
    let forwarded = matches!(ask.origin, Origin::Peer { .. });
    let gone = desk.roster.is_over(&owner.instance, owner.incarnation);
    if !forwarded && !gone {
        return Flow::Forward {
            owner,
            resolved: resolved.clone(),
        };
    }
    if forwarded || resolved.class != CallClass::Idempotent {
        return Flow::End(End::new(Code::OwnerGone));
    }
    let expiry = desk.now + desk.settings.ticket;
    look_up(desk, ask, passed, &identity, Absent::Open(expiry))
}

fn own_by_claim(desk: &mut Desk<'_>, ask: &Ask, passed: Passed, identity: &Identity) -> Flow {
    let expiry = desk.now + desk.settings.ticket;
    if class_of(&passed) == CallClass::Idempotent {
        return look_up(desk, ask, &passed, identity, Absent::Open(expiry));
    }
    let entry = desk.ledger.get(identity);
    let unclaimed = entry.is_none_or(|entry| {
        matches!(entry.standing, Standing::Idle) && !entry.claimed && entry.digest == ask.digest
    });
    if !unclaimed {
        return look_up(desk, ask, &passed, identity, Absent::End(Code::ClaimLost));
    }
    if desk.leaving {
        return Admit.apply(desk, ask, passed);
    }
    if entry.is_none() && !desk.ledger.open(identity, ask.digest, expiry) {
        let end = End::new(Code::LedgerFull).after(RETRY_SOON);
        return Flow::End(honest(end, passed.past));
    }
    Flow::Claim(identity.clone(), true)
}

/// Acts on what the ledger holds of an identity.
fn look_up(
    desk: &mut Desk<'_>,
    ask: &Ask,
    passed: &Passed,
    identity: &Identity,
    absent: Absent,
) -> Flow {
    let next = Passed {
        identity: Some(identity.clone()),
        past: past_of(desk, ask, passed, identity),
        ..passed.clone()
    };
    if let Some(entry) = desk.ledger.get(identity) {
        return held(ask, passed, identity, entry, next);
    }
    match absent {
        Absent::End(code) => Flow::End(End::new(code)),
        Absent::Open(expiry) => {
            // A leaving daemon takes in nothing that it has not seen.
            if !desk.leaving && !desk.ledger.open(identity, ask.digest, expiry) {
                let end = End::new(Code::LedgerFull).after(RETRY_SOON);
                return Flow::End(honest(end, next.past));
            }
            Flow::Next(next)
        }
    }
}

/// Returns what may have happened to a request whose identity is owned or adopted here.
///
/// What must run at most once is dispatched by its owner alone, so the owner's ledger knows all
/// of its past. What may run again may have been adopted by another instance meanwhile.
fn past_of(desk: &Desk<'_>, ask: &Ask, passed: &Passed, identity: &Identity) -> Past {
    let owned = identity.owner == desk.me.incarnation;
    if owned && class_of(passed) != CallClass::Idempotent {
        Past::Untouched
    } else if owned {
        ask.past(CallClass::Idempotent)
    } else {
        Past::Earlier
    }
}

fn held(ask: &Ask, passed: &Passed, identity: &Identity, entry: &Entry, next: Passed) -> Flow {
    if entry.digest != ask.digest {
        return Flow::End(End::new(Code::KeyReused));
    }
    match &entry.standing {
        Standing::Idle => Flow::Next(next),
        Standing::Claiming => Flow::Claim(identity.clone(), false),
        Standing::Running(work) => Flow::Join(*work),
        Standing::Ended { end, .. } => {
            let unknown = end.code.kind() == Kind::Unknown;
            if unknown && class_of(passed) == CallClass::Idempotent {
                // It may have run before, so no refusal of this sending may say "not run".
                return Flow::Next(Passed {
                    past: Past::Earlier,
                    ..next
                });
            }
            Flow::Replay(identity.clone())
        }
    }
}
