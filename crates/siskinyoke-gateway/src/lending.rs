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
const QUOTA_LENDERS: usize = 5;
const QUOTA_REQUEST_DIVISOR: u64 = 2;

/// How long their answers are waited for: a few times the way between two data centres and back.
const QUOTA_REPLY_TIMEOUT: Millis = Millis(30);

/// How long nobody is asked again for an organisation's units after nobody had any.
///
/// An organisation beyond its limit would have each of its requests ask for nothing.
const QUOTA_RETRY_DELAY: Millis = Millis(300);

/// How many instances are asked for a place at once, each of another shard.
const SLOT_LENDERS: usize = 2;

/// How long a question for a place is kept open.
const SLOT_REQUEST_TTL: Millis = Millis(500);

/// Questions to other shards.
#[derive(Debug, Default)]
pub struct Lending {
    // Questions for units.
    quota_requests: RefCell<Map<u64, mpsc::UnboundedSender<Grant>>>,
    // Questions for places.
    slot_requests: RefCell<Map<u64, PendingSlotRequest>>,
    // Places that running requests were given: by whom, and in answer to which question.
    borrowed_slots: RefCell<Map<Ticket, (SocketAddr, u64)>>,
    // When nobody had units of an organisation to spare.
    quota_denied: RefCell<Map<u32, Millis>>,
}

/// A question for a place for one request.
#[derive(Debug)]
struct PendingSlotRequest {
    ticket: Ticket,
    // Whether holders of rate limits were asked, rather than other shards.
    rate_limited: bool,
    sent_at: Millis,
    // Answers that are still to come.
    pending_replies: usize,
}

impl Lending {
    /// Drops what is long past.
    pub fn remove_expired(&self, now: Millis) {
        self.quota_denied
            .borrow_mut()
            .retain(|_, at| now.since(*at) < QUOTA_RETRY_DELAY);
        let mut requests = self.slot_requests.borrow_mut();
        requests.retain(|_, request| now.since(request.sent_at) < SLOT_REQUEST_TTL);
    }
}

/// Takes in the answer to a question.
pub fn handle_reply(shell: &Shell, from: SocketAddr, id: u64, grant: Grant) {
    if let Some(sender) = shell.lending.quota_requests.borrow().get(&id) {
        // A receiver that is gone has all it needs.
        sender.send(grant).unwrap_or_default();
        return;
    }
    match grant {
        Grant::Slot(key) => slot_granted(shell, from, id, key),
        Grant::Denied => slot_denied(shell, id),
        // Too late: they are lost, so that nothing is granted twice.
        Grant::Units(_) => {}
    }
}

/// Asks other shards, or holders of rate limits, for places for requests that cannot start yet.
pub fn request_slots(shell: &Shell) {
    let now = shell.now();
    let requests = shell.core.borrow_mut().borrow_requests(now);
    for (ticket, request) in requests {
        let id = rand::random();
        let lenders = match &request {
            BorrowRequest::RateLimitedSlot(slot) => choose_token_holders(shell, slot.service),
            BorrowRequest::Slot(_) | BorrowRequest::Units(_) => choose_lenders(shell, SLOT_LENDERS),
        };
        if lenders.is_empty() {
            continue;
        }
        let pending = PendingSlotRequest {
            ticket,
            rate_limited: matches!(request, BorrowRequest::RateLimitedSlot(_)),
            sent_at: now,
            pending_replies: lenders.len(),
        };
        shell.lending.slot_requests.borrow_mut().insert(id, pending);
        for lender in lenders {
            gossip::send(shell, lender, &Message::Borrow(id, request));
        }
    }
}

/// Returns the place that a request was given by another shard, if it had one.
pub fn return_slot(shell: &Shell, ticket: Ticket) {
    let borrowed = shell.lending.borrowed_slots.borrow_mut().remove(&ticket);
    if let Some((lender, id)) = borrowed {
        gossip::send(shell, lender, &Message::Return(id));
    }
}

// A second place for the same request, or one that comes too late, goes back at once.
fn slot_granted(shell: &Shell, from: SocketAddr, id: u64, key: EndpointKey) {
    let request = shell.lending.slot_requests.borrow_mut().remove(&id);
    let now = shell.now();
    let granted = request.and_then(|request| {
        let endpoint = shell
            .core
            .borrow_mut()
            .slot_granted(now, request.ticket, key);
        endpoint.map(|endpoint| (request, endpoint))
    });
    let Some((request, endpoint)) = granted else {
        gossip::send(shell, from, &Message::Return(id));
        return;
    };
    let PendingSlotRequest {
        ticket,
        rate_limited,
        sent_at,
        ..
    } = request;
    let fields = json!({
        "ticket": ticket.0,
        "endpoint": &*endpoint.id,
        "lender": from.to_string(),
        "reserved": rate_limited,
        "asked_ms": now.since(sent_at).0,
    });
    shell.log("place_borrowed", fields);
    shell
        .lending
        .borrowed_slots
        .borrow_mut()
        .insert(ticket, (from, id));
    shell.notify_waiter(ticket, Ok(endpoint));
}

fn slot_denied(shell: &Shell, id: u64) {
    let mut requests = shell.lending.slot_requests.borrow_mut();
    let Some(request) = requests.get_mut(&id) else {
        return;
    };
    request.pending_replies -= 1;
    if request.pending_replies > 0 {
        return;
    }
    let PendingSlotRequest {
        ticket,
        rate_limited,
        ..
    } = *request;
    requests.remove(&id);
    drop(requests);
    let now = shell.now();
    let mut core = shell.core.borrow_mut();
    if rate_limited {
        core.token_declined(now, ticket);
    } else {
        core.slot_declined(now, ticket);
    }
    drop(core);
    shell.decide();
}

/// Asks other shards for units of an organisation's quota, and returns how many they gave.
pub async fn borrow_quota(shell: &Shell, request: UnitsRequest) -> u64 {
    let UnitsRequest {
        organisation,
        units,
    } = request;
    let now = shell.now();
    let denied = shell
        .lending
        .quota_denied
        .borrow()
        .get(&organisation)
        .copied();
    if denied.is_some_and(|at| now.since(at) < QUOTA_RETRY_DELAY) {
        return 0;
    }
    let part = UnitsRequest {
        organisation,
        units: units.div_ceil(QUOTA_REQUEST_DIVISOR),
    };
    let grants = request_quota(shell, BorrowRequest::Units(part)).await;
    let given: u64 = grants.iter().map(|grant| granted_units(*grant)).sum();
    let fields = json!({ "organisation": organisation, "units": units, "given": given, "answers": grants.len() });
    shell.log("units_borrowed", fields);
    if given == 0 {
        let now = shell.now();
        shell
            .lending
            .quota_denied
            .borrow_mut()
            .insert(organisation, now);
    }
    given
}

/// Answers an instance of another shard.
pub fn handle_request(shell: &Shell, from: SocketAddr, id: u64, request: BorrowRequest) {
    let grant = shell.core.borrow_mut().lend(shell.now(), id, request);
    if let Grant::Slot(_) = grant {
        // Peers must not give the same place away.
        shell.report_due.notify_one();
    }
    gossip::send(shell, from, &Message::Lend(id, grant));
}

async fn request_quota(shell: &Shell, request: BorrowRequest) -> Vec<Grant> {
    let id = rand::random();
    let (sender, mut replies) = mpsc::unbounded_channel();
    shell.lending.quota_requests.borrow_mut().insert(id, sender);
    let lenders = choose_lenders(shell, QUOTA_LENDERS);
    for lender in &lenders {
        gossip::send(shell, *lender, &Message::Borrow(id, request));
    }
    let deadline = Instant::now() + Duration::from(QUOTA_REPLY_TIMEOUT);
    let mut grants = Vec::new();
    while grants.len() < lenders.len()
        && let Ok(Some(grant)) = timeout_at(deadline, replies.recv()).await
    {
        grants.push(grant);
    }
    shell.lending.quota_requests.borrow_mut().remove(&id);
    grants
}

fn choose_lenders(shell: &Shell, count: usize) -> Vec<SocketAddr> {
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
fn choose_token_holders(shell: &Shell, service: u32) -> Vec<SocketAddr> {
    let core = shell.core.borrow();
    let holders = core.token_holders(shell.now(), service);
    let some = holders.choose_multiple(&mut rand::rng(), SLOT_LENDERS);
    some.filter_map(|it| it.peer_address.parse().ok()).collect()
}

fn granted_units(grant: Grant) -> u64 {
    match grant {
        Grant::Units(units) => units,
        Grant::Denied | Grant::Slot(_) => 0,
    }
}
