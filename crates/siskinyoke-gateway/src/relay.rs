//! Relays requests between instances: an instance that has lost its links to an endpoint sends the
//! request to a peer, which passes it on to that endpoint.
//!
//! The sender schedules the request as any other: it counts quotas, slots and limits, and it alone
//! sends the request again. A relay decides nothing. It passes on what it is sent, once and over
//! its own links only, so that a request takes one more hop and never two.

mod body;
mod client;
mod error;
mod server;
mod status;

use std::cell::Cell;
use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;

use http::HeaderName;

use crate::endpoint_client::EndpointClient;
use crate::event_log::EventLog;
use crate::memory_budget::MemoryBudget;
use crate::pool::Pool;
use siskinyoke_dispatch::Core;
use siskinyoke_interface::Exchange;

pub use self::body::RelayedBody;
pub use self::error::LinkLostError;

/// The header by which a request names the key of the endpoint that it is relayed to.
pub const ENDPOINT_HEADER: HeaderName = HeaderName::from_static("siskinyoke-relay-endpoint");

/// The header by which a relay states what became of a request.
pub const STATUS_HEADER: HeaderName = HeaderName::from_static("siskinyoke-relay-status");

/// The header by which a relay states how the endpoint marks the end of its response.
///
/// Relays of earlier versions state nothing, and mark the end of every response themselves.
pub const FRAMING_HEADER: HeaderName = HeaderName::from_static("siskinyoke-relay-framing");

/// Set by a relay with the status of a lost connection if the endpoint's response was to another
/// request.
///
/// To earlier versions, the connection is lost.
pub const MISMATCH_HEADER: HeaderName = HeaderName::from_static("siskinyoke-relay-mismatch");

/// Set by the sender of a request that needs a new connection to the endpoint, to
/// [`VERIFIED_CONNECTION`] if the endpoint has to confirm its start there.
///
/// Relays of earlier versions open a new connection for any value, and confirm nothing.
pub const NEW_CONNECTION_HEADER: HeaderName =
    HeaderName::from_static("siskinyoke-relay-new-connection");

/// The value by which a request needs a connection on which the endpoint has confirmed its start.
pub const VERIFIED_CONNECTION: &str = "verified";

/// Sends requests through peers, and relays those of peers.
#[derive(Debug)]
pub struct Relay {
    core: Rc<RefCell<Core>>,
    exchange: Rc<dyn Exchange>,
    pool: Rc<Pool>,
    client: Rc<EndpointClient>,
    log: EventLog,
    // The IP address from which requests are sent to relays, by which these know this instance.
    source: IpAddr,
    // Requests of peers that are being relayed.
    in_flight: Rc<Cell<usize>>,
    // Bodies of these requests, in bytes.
    held_bytes: Rc<Cell<usize>>,
    memory: MemoryBudget,
}

impl Relay {
    /// Creates the relay of an instance.
    pub fn new(
        core: Rc<RefCell<Core>>,
        exchange: Rc<dyn Exchange>,
        pool: Rc<Pool>,
        client: Rc<EndpointClient>,
        log: EventLog,
        source: IpAddr,
        memory: MemoryBudget,
    ) -> Self {
        Self {
            core,
            exchange,
            pool,
            client,
            log,
            source,
            in_flight: Rc::default(),
            held_bytes: Rc::default(),
            memory,
        }
    }

    /// Returns the number of requests of peers that are being relayed.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }
}
