//! Borrows slots and quota units from other instances, and handles their borrow requests.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IndexedRandom;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::shell::Shell;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::BorrowRequest;
use siskinyoke_dispatch::EndpointKey;
use siskinyoke_dispatch::Grant;
use siskinyoke_dispatch::Message;
use siskinyoke_dispatch::Ticket;
use siskinyoke_dispatch::message::UnitsRequest;

/// Number of instances asked for quota units at once, each of a different shard.
///
/// A shard can spare the units of a few requests. Instances of the same shard would lend the same
/// units.
const QUOTA_LENDERS: usize = 5;

/// Each lender is asked for the required units divided by this.
const QUOTA_REQUEST_DIVISOR: u64 = 2;

/// How long replies to quota requests are awaited: a few round trips between two data centres.
const QUOTA_REPLY_TIMEOUT: Millis = Millis(30);

/// How long no units are requested for an organisation after no lender had any.
///
/// Otherwise each request of an organisation that exceeds its quota would query other shards
/// without result.
const QUOTA_RETRY_DELAY: Millis = Millis(300);

/// Number of instances asked for a slot at once, each of a different shard.
const SLOT_LENDERS: usize = 2;

/// How long a slot request is kept while replies are missing.
const SLOT_REQUEST_TTL: Millis = Millis(500);

/// Borrow requests sent to other instances, and the slots borrowed from them.
#[derive(Debug, Default)]
pub struct Lending {
    // Channels for the replies to requests for quota units, by request ID.
    quota_requests: RefCell<Map<u64, mpsc::UnboundedSender<Grant>>>,
    // Unanswered requests for slots, by request ID.
    slot_requests: RefCell<Map<u64, PendingSlotRequest>>,
    // Lender and request ID of the slots that running requests occupy at other shards.
    borrowed_slots: RefCell<Map<Ticket, (SocketAddr, u64)>>,
    // When no lender had units to spare, by organisation.
    quota_denied: RefCell<Map<u32, Millis>>,
}

/// An unanswered request to borrow a slot for one waiting request.
#[derive(Debug)]
struct PendingSlotRequest {
    ticket: Ticket,
    // Whether holders of rate-limit tokens were asked, rather than other shards.
    rate_limited: bool,
    sent_at: Millis,
    // Number of replies still missing.
    pending_replies: usize,
}

impl Lending {
    /// Removes expired requests and denials.
    pub fn remove_expired(&self, now: Millis) {
        self.quota_denied
            .borrow_mut()
            .retain(|_, denied_at| now.since(*denied_at) < QUOTA_RETRY_DELAY);
        let mut requests = self.slot_requests.borrow_mut();
        requests.retain(|_, request| now.since(request.sent_at) < SLOT_REQUEST_TTL);
    }
}

/// Handles the reply to a borrow request.
pub fn handle_reply(shell: &Shell, from: SocketAddr, id: u64, grant: Grant) {
    if let Some(sender) = shell.lending.quota_requests.borrow().get(&id) {
        // A receiver that was dropped needs no more replies.
        sender.send(grant).unwrap_or_default();
        return;
    }
    match grant {
        Grant::Slot(key) => slot_granted(shell, from, id, key),
        Grant::Denied => slot_denied(shell, id),
        // Units that arrive too late are lost; returning them might grant them twice.
        Grant::Units(_) => {}
    }
}

/// Asks other shards, or holders of rate-limit tokens, for slots for requests that cannot start.
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
            shell
                .peer_socket
                .send(lender, &Message::Borrow(id, request));
        }
    }
}

/// Returns a request's slot to the lender if the slot was borrowed.
pub fn return_slot(shell: &Shell, ticket: Ticket) {
    let borrowed = shell.lending.borrowed_slots.borrow_mut().remove(&ticket);
    if let Some((lender, id)) = borrowed {
        shell.peer_socket.send(lender, &Message::Return(id));
    }
}

// Starts the request at the lent slot. A second slot for the same request, or one that arrives too
// late, is returned at once.
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
        shell.peer_socket.send(from, &Message::Return(id));
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

// Counts a denial, and notifies the scheduler once all lenders have denied the slot.
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
        core.token_denied(now, ticket);
    } else {
        core.slot_denied(now, ticket);
    }
    drop(core);
    shell.decide();
}

/// Borrows units of an organisation's quota from other shards, and returns the number granted.
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
    if denied.is_some_and(|denied_at| now.since(denied_at) < QUOTA_RETRY_DELAY) {
        return 0;
    }
    let request = UnitsRequest {
        organisation,
        units: units.div_ceil(QUOTA_REQUEST_DIVISOR),
    };
    let grants = request_quota(shell, BorrowRequest::Units(request)).await;
    let granted: u64 = grants.iter().map(|grant| granted_units(*grant)).sum();
    let fields = json!({
        "organisation": organisation,
        "units": units,
        "given": granted,
        "answers": grants.len()
    });
    shell.log("units_borrowed", fields);
    if granted == 0 {
        let now = shell.now();
        shell
            .lending
            .quota_denied
            .borrow_mut()
            .insert(organisation, now);
    }
    granted
}

/// Handles a borrow request of another instance.
pub fn handle_request(shell: &Shell, from: SocketAddr, id: u64, request: BorrowRequest) {
    let grant = shell.core.borrow_mut().lend(shell.now(), id, request);
    if let Grant::Slot(_) = grant {
        // Report the lent slot at once, so that peers do not use it too.
        shell.report_due.notify_one();
    }
    shell.peer_socket.send(from, &Message::Lend(id, grant));
}

// Sends a request for quota units to several shards and collects the replies.
async fn request_quota(shell: &Shell, request: BorrowRequest) -> Vec<Grant> {
    let id = rand::random();
    let (sender, mut replies) = mpsc::unbounded_channel();
    shell.lending.quota_requests.borrow_mut().insert(id, sender);
    let lenders = choose_lenders(shell, QUOTA_LENDERS);
    for lender in &lenders {
        shell
            .peer_socket
            .send(*lender, &Message::Borrow(id, request));
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

// Chooses random instances, each of a different other shard.
fn choose_lenders(shell: &Shell, count: usize) -> Vec<SocketAddr> {
    let core = shell.core.borrow();
    let rng = &mut rand::rng();
    let shards = core.instances_by_other_shard();
    let sample: Vec<_> = shards.choose_multiple(rng, count).collect();
    let locations = sample.into_iter().filter_map(|shard| shard.choose(rng));
    locations
        .filter_map(|it| it.peer_address.parse().ok())
        .collect()
}

// Chooses random peers that hold tokens for rate-limited endpoints of a service.
fn choose_token_holders(shell: &Shell, service: u32) -> Vec<SocketAddr> {
    let core = shell.core.borrow();
    let holders = core.token_holders(shell.now(), service);
    let sample = holders.choose_multiple(&mut rand::rng(), SLOT_LENDERS);
    sample
        .filter_map(|it| it.peer_address.parse().ok())
        .collect()
}

fn granted_units(grant: Grant) -> u64 {
    match grant {
        Grant::Units(units) => units,
        Grant::Denied | Grant::Slot(_) => 0,
    }
}
