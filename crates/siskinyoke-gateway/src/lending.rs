//! Asks instances of other shards for what the own one lacks just now, and answers them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IndexedRandom;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::gossip;
use crate::shell::Shell;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::BorrowRequest;
use siskinyoke_dispatch::EndpointKey;
use siskinyoke_dispatch::Grant;
use siskinyoke_dispatch::Message;
use siskinyoke_dispatch::Ticket;
use siskinyoke_dispatch::message::UnitsRequest;

/// How many instances are asked for units at once, each of another shard, and for what part of the units.
///
/// A shard has a few requests' units to spare. Instances of the same shard would give the same ones away.
const ASKED: usize = 5;
const PART: u64 = 2;

/// How long their answers are waited for: a few times the way between two data centres and back.
const LIMIT: Millis = Millis(30);

/// How long nobody is asked again for an organisation's units after nobody had any.
///
/// An organisation beyond its limit would have each of its requests ask for nothing.
const DECLINED: Millis = Millis(300);

/// How many instances are asked for a place at once, each of another shard.
const CHOICES: usize = 2;

/// How long a question for a place is kept open.
const OPEN: Millis = Millis(500);

/// Questions to other shards.
#[derive(Debug, Default)]
pub struct Lending {
    // Questions for units.
    open: RefCell<Map<u64, mpsc::UnboundedSender<Grant>>>,
    // Questions for places.
    places: RefCell<Map<u64, Question>>,
    // Places that running requests were given: by whom, and in answer to which question.
    taken: RefCell<Map<Ticket, (SocketAddr, u64)>>,
    // When nobody had units of an organisation to spare.
    declined: RefCell<Map<u32, Millis>>,
}

/// A question for a place for one request.
#[derive(Debug)]
struct Question {
    ticket: Ticket,
    // Whether holders of rate limits were asked, rather than other shards.
    reserved: bool,
    at: Millis,
    // Answers that are still to come.
    left: usize,
}

impl Lending {
    /// Drops what is long past.
    pub fn sweep(&self, now: Millis) {
        self.declined
            .borrow_mut()
            .retain(|_, at| now.since(*at) < DECLINED);
        let mut places = self.places.borrow_mut();
        places.retain(|_, question| now.since(question.at) < OPEN);
    }
}

/// Takes in the answer to a question.
pub fn answered(shell: &Shell, from: SocketAddr, id: u64, grant: Grant) {
    if let Some(sender) = shell.lending.open.borrow().get(&id) {
        // A receiver that is gone has all it needs.
        sender.send(grant).unwrap_or_default();
        return;
    }
    match grant {
        Grant::Slot(key) => place_granted(shell, from, id, key),
        Grant::Denied => no_place(shell, id),
        // Too late: they are lost, so that nothing is granted twice.
        Grant::Units(_) => {}
    }
}

/// Asks other shards, or holders of rate limits, for places for requests that cannot start yet.
pub fn places(shell: &Shell) {
    let now = shell.now();
    let needs = shell.core.borrow_mut().borrow_requests(now);
    for (ticket, need) in needs {
        let id = rand::random();
        let lenders = match &need {
            BorrowRequest::RateLimitedSlot(need) => holders(shell, need.service),
            BorrowRequest::Slot(_) | BorrowRequest::Units(_) => lenders(shell, CHOICES),
        };
        if lenders.is_empty() {
            continue;
        }
        let question = Question {
            ticket,
            reserved: matches!(need, BorrowRequest::RateLimitedSlot(_)),
            at: now,
            left: lenders.len(),
        };
        shell.lending.places.borrow_mut().insert(id, question);
        for lender in lenders {
            gossip::send(shell, lender, &Message::Borrow(id, need));
        }
    }
}

/// Returns the place that a request was given by another shard, if it had one.
pub fn give_back(shell: &Shell, ticket: Ticket) {
    let taken = shell.lending.taken.borrow_mut().remove(&ticket);
    if let Some((lender, id)) = taken {
        gossip::send(shell, lender, &Message::Return(id));
    }
}

// A second place for the same request, or one that comes too late, goes back at once.
fn place_granted(shell: &Shell, from: SocketAddr, id: u64, key: EndpointKey) {
    let question = shell.lending.places.borrow_mut().remove(&id);
    let now = shell.now();
    let placed = question.and_then(|question| {
        let endpoint = shell
            .core
            .borrow_mut()
            .slot_granted(now, question.ticket, key);
        endpoint.map(|endpoint| (question, endpoint))
    });
    let Some((question, endpoint)) = placed else {
        gossip::send(shell, from, &Message::Return(id));
        return;
    };
    let Question {
        ticket,
        reserved,
        at,
        ..
    } = question;
    let fields = json!({
        "ticket": ticket.0,
        "endpoint": &*endpoint.id,
        "lender": from.to_string(),
        "reserved": reserved,
        "asked_ms": now.since(at).0,
    });
    shell.log("place_borrowed", fields);
    shell.lending.taken.borrow_mut().insert(ticket, (from, id));
    shell.notify_waiter(ticket, Ok(endpoint));
}

fn no_place(shell: &Shell, id: u64) {
    let mut places = shell.lending.places.borrow_mut();
    let Some(question) = places.get_mut(&id) else {
        return;
    };
    question.left -= 1;
    if question.left > 0 {
        return;
    }
    let Question {
        ticket, reserved, ..
    } = *question;
    places.remove(&id);
    drop(places);
    let now = shell.now();
    let mut core = shell.core.borrow_mut();
    if reserved {
        core.token_declined(now, ticket);
    } else {
        core.slot_declined(now, ticket);
    }
    drop(core);
    shell.decide();
}

/// Asks other shards for units of an organisation's quota, and returns how many they gave.
pub async fn units(shell: &Shell, need: UnitsRequest) -> u64 {
    let UnitsRequest {
        organisation,
        units,
    } = need;
    let now = shell.now();
    let declined = shell.lending.declined.borrow().get(&organisation).copied();
    if declined.is_some_and(|at| now.since(at) < DECLINED) {
        return 0;
    }
    let part = UnitsRequest {
        organisation,
        units: units.div_ceil(PART),
    };
    let grants = ask(shell, BorrowRequest::Units(part)).await;
    let given: u64 = grants.iter().map(|grant| amount(*grant)).sum();
    let fields = json!({ "organisation": organisation, "units": units, "given": given, "answers": grants.len() });
    shell.log("units_borrowed", fields);
    if given == 0 {
        let now = shell.now();
        shell
            .lending
            .declined
            .borrow_mut()
            .insert(organisation, now);
    }
    given
}

/// Answers an instance of another shard.
pub fn answer(shell: &Shell, from: SocketAddr, id: u64, need: BorrowRequest) {
    let grant = shell.core.borrow_mut().lend(shell.now(), id, need);
    if let Grant::Slot(_) = grant {
        // Peers must not give the same place away.
        shell.report_due.notify_one();
    }
    gossip::send(shell, from, &Message::Lend(id, grant));
}

async fn ask(shell: &Shell, need: BorrowRequest) -> Vec<Grant> {
    let id = rand::random();
    let (sender, mut answers) = mpsc::unbounded_channel();
    shell.lending.open.borrow_mut().insert(id, sender);
    let lenders = lenders(shell, ASKED);
    for lender in &lenders {
        gossip::send(shell, *lender, &Message::Borrow(id, need));
    }
    let until = Instant::now() + Duration::from(LIMIT);
    let mut grants = Vec::new();
    while grants.len() < lenders.len()
        && let Ok(Some(grant)) = timeout_at(until, answers.recv()).await
    {
        grants.push(grant);
    }
    shell.lending.open.borrow_mut().remove(&id);
    grants
}

fn lenders(shell: &Shell, count: usize) -> Vec<SocketAddr> {
    let core = shell.core.borrow();
    let rng = &mut rand::rng();
    let shards = core.instances_by_other_shard();
    let some: Vec<_> = shards.choose_multiple(rng, count).collect();
    let places = some.into_iter().filter_map(|shard| shard.choose(rng));
    places
        .filter_map(|it| it.peer_address.parse().ok())
        .collect()
}

// Some peers that hold a part of a rate limit of a service.
fn holders(shell: &Shell, service: u32) -> Vec<SocketAddr> {
    let core = shell.core.borrow();
    let holders = core.token_holders(shell.now(), service);
    let some = holders.choose_multiple(&mut rand::rng(), CHOICES);
    some.filter_map(|it| it.peer_address.parse().ok()).collect()
}

fn amount(grant: Grant) -> u64 {
    match grant {
        Grant::Units(units) => units,
        Grant::Denied | Grant::Slot(_) => 0,
    }
}
