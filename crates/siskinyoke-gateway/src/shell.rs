//! What all tasks of an instance share, on its one thread.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use serde_json::Value;
use serde_json::json;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::clock::BootClock;
use crate::lending;
use crate::lending::Lending;
use crate::log_writer::LogWriter;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::replica::Replica;
use crate::settings::Settings;
use crate::store::Client;
use siskinyoke_base::Clock;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Decision;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::Refusal;
use siskinyoke_dispatch::Ticket;
use siskinyoke_dispatch::core::Identity;
use siskinyoke_dispatch::core::RoutedRequest;
use siskinyoke_interface::Interface;

/// What a waiting request is told.
pub type SchedulingResult = Result<Arc<Endpoint>, Refusal>;

/// What is known of a request that is turned away, for its log line.
#[derive(Debug, Clone, Copy, Default)]
pub struct RefusedRequest<'a> {
    /// Its identity.
    pub id: Option<&'a str>,
    /// Its organisation.
    pub organisation: Option<&'a str>,
    /// What the filters found, if it passed them.
    pub route: Option<&'a RoutedRequest>,
    /// Whether it was let in, so that it has an answer's line besides.
    pub admitted: bool,
}

impl<'a> RefusedRequest<'a> {
    /// What is known of a request of which only the identity counts.
    pub fn unrouted(id: Option<&'a str>) -> Self {
        Self {
            id,
            ..Self::default()
        }
    }

    /// What is known of a request that passed the filters.
    pub fn routed(id: Option<&'a str>, pass: &'a RoutedRequest) -> Self {
        Self {
            id,
            organisation: pass.organisation.as_ref().map(|it| &*it.name),
            route: Some(pass),
            admitted: false,
        }
    }
}

/// What all tasks of an instance share, on its one thread.
#[derive(Debug)]
pub struct Shell {
    /// The state that decides.
    pub core: RefCell<Core>,
    /// How callers, endpoints, operators and the store are spoken to.
    pub interface: Interface,
    /// The settings at present.
    pub settings: RefCell<Rc<Settings>>,
    /// Connections to endpoints.
    pub pool: Pool,
    /// The metrics.
    pub metrics: Metrics,
    /// What the store said, to be handed to peers.
    pub replica: RefCell<Replica>,
    /// Whether the store answered this instance last.
    pub store_reachable: Cell<bool>,
    /// When the store last answered a watch or a reading.
    pub store_answered: Cell<Millis>,
    /// Whether this instance watches the store, rather than follow a peer.
    pub watching: Cell<bool>,
    /// The socket for messages between instances, once it is bound.
    pub socket: OnceCell<UdpSocket>,
    /// Questions to other shards.
    pub lending: Lending,
    /// Takes from peers what they know of the store.
    pub peer_client: RefCell<Client>,
    /// When the process started.
    pub started_at: Millis,
    /// Wakes requests that are held until a configuration is known.
    pub configuration_known: Notify,
    /// Wakes the sender of reports.
    pub report_due: Notify,
    /// Whether peers are to be looked for with the next report.
    pub search_due: Cell<bool>,
    /// Wakes the renewal of the lease.
    pub lease_renewal: Notify,
    /// Wakes a watch whose store did not answer another call.
    pub store_unresponsive: Notify,
    /// Wakes a watcher that leaves the store alone for a moment, as no peer told it what is new.
    pub handover_failed: Notify,
    /// The peer that failed to hand over what it has, and when.
    pub failed_peer: Cell<Option<(SocketAddr, Millis)>>,
    /// Wakes the timer of waiting requests.
    pub queue_timer: Notify,
    /// Wakes all who must know that the instance is leaving.
    pub leaving: Notify,
    /// Whether something is being taken from a peer.
    pub catching_up: Cell<bool>,
    /// Whether the state of a rollout is being written.
    pub writing_status: Cell<bool>,
    /// Bytes of bodies that are held at present.
    pub held_bytes: Cell<usize>,
    /// Requests that are being served at present.
    pub caller_connections: Cell<usize>,
    /// When the last request arrived.
    pub last_arrival: Cell<Millis>,
    waiters: RefCell<Map<Ticket, oneshot::Sender<SchedulingResult>>>,
    log_writer: RefCell<LogWriter>,
    clock: BootClock,
}

impl Shell {
    /// Makes the shared state of an instance.
    ///
    /// # Errors
    ///
    /// What keeps the metrics from being set up.
    pub fn new(
        interface: Interface,
        settings: Settings,
        identity: Identity,
        log_writer: LogWriter,
    ) -> Result<Self, String> {
        Ok(Self {
            interface,
            core: RefCell::new(Core::new(identity)),
            settings: RefCell::new(Rc::new(settings)),
            pool: Pool::default(),
            metrics: Metrics::new()?,
            replica: RefCell::default(),
            store_reachable: Cell::new(false),
            store_answered: Cell::new(BootClock.now()),
            watching: Cell::new(false),
            socket: OnceCell::new(),
            lending: Lending::default(),
            peer_client: RefCell::default(),
            started_at: BootClock.now(),
            configuration_known: Notify::new(),
            report_due: Notify::new(),
            search_due: Cell::new(false),
            lease_renewal: Notify::new(),
            store_unresponsive: Notify::new(),
            handover_failed: Notify::new(),
            failed_peer: Cell::new(None),
            queue_timer: Notify::new(),
            leaving: Notify::new(),
            catching_up: Cell::new(false),
            writing_status: Cell::new(false),
            held_bytes: Cell::new(0),
            caller_connections: Cell::new(0),
            last_arrival: Cell::new(Millis::ZERO),
            waiters: RefCell::default(),
            log_writer: RefCell::new(log_writer),
            clock: BootClock,
        })
    }

    /// Returns the present time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns the settings at present.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Writes a log line.
    pub fn log(&self, event: &str, fields: Value) {
        self.log_writer
            .borrow_mut()
            .write(self.now(), event, fields);
    }

    /// Writes the line of a refusal, with what decided it.
    pub fn log_refusal(&self, request: RefusedRequest<'_>, refusal: Refusal) {
        let now = self.now();
        let core = self.core.borrow();
        let (waiting, running) = core.scheduler().request_counts();
        let fields = json!({
            "id": request.id,
            "admitted": request.admitted,
            "rank": request.route.map(|it| it.priority.0),
            "organisation": request.organisation,
            "prompt": request.route.map(|it| it.tokens.prompt),
            "output": request.route.map(|it| it.tokens.output),
            "units": request.route.map(|it| it.quota_cost),
            "reason": refusal.reason.as_str(),
            "after_ms": refusal.retry_after.0,
            "waiting": waiting,
            "running": running,
            "peers": core.peers().instance_count(now) - 1,
            "quota_share": core.peers().fleet_share(now),
            "configuration": core.configuration_version(),
            "store": core.store_available(),
            "revision": core.store_revision(),
            "store_age_ms": now.since(self.store_answered.get()).0,
        });
        self.log("refusal", fields);
    }

    /// Looks for peers at once.
    ///
    /// Until instances hear of each other, each can only guess what the others use.
    pub fn search_peers(&self) {
        self.search_due.set(true);
        self.report_due.notify_one();
    }

    /// Hands gathered log lines to their writer.
    pub fn flush(&self) {
        self.log_writer.borrow_mut().flush();
    }

    /// Waits for what is decided of a request.
    pub fn add_waiter(&self, ticket: Ticket) -> oneshot::Receiver<SchedulingResult> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, sender);
        receiver
    }

    /// Takes out a request, waiting or running, whose caller left.
    pub fn cancel(&self, ticket: Ticket) {
        self.waiters.borrow_mut().remove(&ticket);
        lending::return_slot(self, ticket);
        self.core.borrow_mut().cancel(self.now(), ticket);
        self.report_due.notify_one();
    }

    /// Decides what can be decided now and tells those who wait.
    pub fn decide(&self) {
        let decisions = self.core.borrow_mut().decide(self.now());
        for decision in decisions {
            let (ticket, word) = match decision {
                Decision::Start(ticket, endpoint) => (ticket, Ok(endpoint)),
                Decision::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            self.notify_waiter(ticket, word);
        }
        lending::request_slots(self);
        self.report_due.notify_one();
        if self.core.borrow().scheduler().request_counts().0 > 0 {
            self.queue_timer.notify_one();
        }
    }

    /// Tells whoever waits for it what was decided of a request.
    pub fn notify_waiter(&self, ticket: Ticket, word: SchedulingResult) {
        // A waiter that is gone has its guard end the stay.
        if let Some(waiter) = self.waiters.borrow_mut().remove(&ticket)
            && waiter.send(word).is_err()
        {
            self.log("word_unheard", json!({ "ticket": ticket.0 }));
        }
    }
}
