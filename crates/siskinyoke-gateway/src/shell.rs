//! The shell around the decision core: the state shared by all tasks of an instance, which run on
//! one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use http::HeaderMap;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::oneshot;

use crate::client_resources::ClientResources;
use crate::clock::BootClock;
use crate::configuration_copy::ConfigurationCopy;
use crate::configuration_transfer;
use crate::endpoint_client::EndpointClient;
use crate::event_log::EventLog;
use crate::lending;
use crate::lending::Lending;
use crate::log_writer::LogWriter;
use crate::metrics::Metrics;
use crate::part_quarantine;
use crate::peer_socket::PeerSocket;
use crate::pool::Pool;
use crate::relay::Relay;
use crate::replica::Replica;
use crate::settings::Settings;
use crate::store::Client;
use crate::store::StoreError;
use crate::stream_lookup::StreamLookup;
use crate::transfer::Transfer;
use crate::view_confirmation::ViewConfirmation;
use siskinyoke_base::Clock;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Decision;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::Refusal;
use siskinyoke_dispatch::Ticket;
use siskinyoke_dispatch::configuration_sources::ConfigurationSources;
use siskinyoke_dispatch::core::Identity;
use siskinyoke_dispatch::core::RoutedRequest;
use siskinyoke_dispatch::store_era::EraCheck;
use siskinyoke_interface::Interface;

/// The scheduling decision for a queued request: its endpoint, or a refusal.
pub type SchedulingResult = Result<Arc<Endpoint>, Refusal>;

/// The known facts about a refused request, for its log line.
#[derive(Debug, Clone, Copy, Default)]
pub struct RefusalInfo<'a> {
    /// The request ID.
    pub id: Option<&'a str>,
    /// The name of its organisation.
    pub organisation: Option<&'a str>,
    /// The result of routing, if it was routed.
    pub route: Option<&'a RoutedRequest>,
    /// Whether it was admitted, in which case an `answer` line is logged as well.
    pub admitted: bool,
}

impl<'a> RefusalInfo<'a> {
    /// Describes a request that was refused before it was routed.
    pub fn unrouted(id: Option<&'a str>) -> Self {
        Self {
            id,
            ..Self::default()
        }
    }

    /// Describes a routed request.
    pub fn routed(id: Option<&'a str>, route: &'a RoutedRequest) -> Self {
        Self {
            id,
            organisation: route.organisation.as_ref().map(|it| &*it.name),
            route: Some(route),
            admitted: false,
        }
    }
}

/// The state shared by all tasks of an instance.
#[derive(Debug)]
pub struct Shell {
    /// The state on which all decisions are based; it does no I/O.
    pub core: Rc<RefCell<Core>>,
    /// The protocols of callers, endpoints, operators and the store.
    pub interface: Rc<Interface>,
    /// The current settings.
    pub settings: RefCell<Rc<Settings>>,
    /// The pool of connections to endpoints and relays.
    pub pool: Rc<Pool>,
    /// Sends requests to endpoints over this instance's own links.
    pub endpoint_client: Rc<EndpointClient>,
    /// Sends requests to endpoints through peers, and relays those of peers.
    pub relay: Relay,
    /// The metrics of this instance.
    pub metrics: Metrics,
    /// The replica of the store's contents, from which peers fetch changes.
    pub replica: RefCell<Replica>,
    /// The configuration in force, for peers.
    pub configuration_copy: RefCell<Option<ConfigurationCopy>>,
    /// The peers that reported a configuration.
    pub configuration_sources: RefCell<ConfigurationSources>,
    /// Whether a newer configuration is being fetched from a peer.
    pub fetching_configuration: Cell<bool>,
    /// Limits how many peers are sent the configuration at the same time.
    pub transfer_slots: Arc<Semaphore>,
    /// Whether the last read or watch of the store by this instance succeeded.
    pub store_reachable: Cell<bool>,
    /// When a read or watch of the store last succeeded; at first, when the process started.
    pub store_contact: Cell<Millis>,
    /// Whether this instance watches the store itself, rather than following a peer.
    pub watching: Cell<bool>,
    /// The UDP socket for messages between instances.
    pub peer_socket: PeerSocket,
    /// Confirms with the store that this instance's view of it is current.
    pub view_confirmation: Rc<ViewConfirmation>,
    /// Tells other instances at which versions streams began, and asks them.
    pub stream_lookup: Rc<StreamLookup>,
    /// Borrow requests sent to other instances, and the slots borrowed from them.
    pub lending: Lending,
    /// The client that fetches store changes from peers.
    pub peer_client: RefCell<Client>,
    /// When the process started.
    pub started_at: Millis,
    /// Wakes requests held until the first configuration is known.
    pub configuration_known: Notify,
    /// Wakes the sender of reports to peers.
    pub report_due: Notify,
    /// Whether the next report is also sent to addresses from which none has been received.
    pub discovery_due: Cell<bool>,
    /// Wakes the task that renews this instance's lease in the store.
    pub lease_renewal: Notify,
    /// Ends a watch call at a previous address of the store.
    pub store_moved: Notify,
    /// Whether the store's contents have to be read anew.
    pub full_read_due: Cell<bool>,
    /// Ends a watch call so that the store's contents are read anew.
    pub reread_due: Notify,
    /// Aborts a watch call after the store failed to answer another call.
    pub store_unresponsive: Notify,
    /// Ends the watcher's delay before its next call when fetching changes from a peer failed.
    pub fetch_failed: Notify,
    /// The peer from which fetching changes last failed, and when.
    pub failed_peer: Cell<Option<(SocketAddr, Millis)>>,
    /// Wakes the timer that reschedules queued requests.
    pub queue_timer: Notify,
    /// Wakes the tasks that wait for the start of the shutdown.
    pub shutdown_started: Notify,
    /// Whether changes are being fetched from a peer.
    pub catching_up: Cell<bool>,
    /// Whether statuses of rollouts or notes of versions are being written to the store.
    pub writing: Cell<bool>,
    /// The memory and the connections that clients may make this process hold.
    pub clients: ClientResources,
    /// Whether connections of callers are accepted.
    pub accepting_callers: Cell<bool>,
    /// When the last request arrived.
    pub last_arrival: Cell<Millis>,
    // Whether the era of the last response of the store could not be read.
    era_unreadable: Cell<bool>,
    waiters: RefCell<Map<Ticket, oneshot::Sender<SchedulingResult>>>,
    /// The log of decisions.
    pub event_log: EventLog,
    clock: BootClock,
}

impl Shell {
    /// Creates the shared state of an instance.
    ///
    /// # Errors
    ///
    /// Returns the exporter's message if the metrics cannot be set up.
    pub fn new(
        interface: Interface,
        settings: Settings,
        identity: Identity,
        log_writer: LogWriter,
    ) -> Result<Self, String> {
        let core = Rc::new(RefCell::new(Core::new(identity)));
        let pool = Rc::<Pool>::default();
        let event_log = EventLog::new(log_writer);
        let client = EndpointClient::new(
            pool.clone(),
            interface.exchange.clone(),
            event_log.clone(),
            settings.ip,
        );
        let client = Rc::new(client);
        let clients = ClientResources::new(&settings);
        let relay = Relay::new(
            core.clone(),
            interface.exchange.clone(),
            pool.clone(),
            client.clone(),
            event_log.clone(),
            settings.ip,
            clients.memory.clone(),
        );
        let peer_socket = PeerSocket::new(event_log.clone());
        let view_confirmation = Rc::new(ViewConfirmation::new(core.clone()));
        let stream_lookup =
            StreamLookup::new(core.clone(), peer_socket.clone(), view_confirmation.clone());
        let stream_lookup = Rc::new(stream_lookup);
        Ok(Self {
            interface: Rc::new(interface),
            core,
            settings: RefCell::new(Rc::new(settings)),
            pool,
            endpoint_client: client,
            relay,
            metrics: Metrics::new()?,
            replica: RefCell::default(),
            configuration_copy: RefCell::default(),
            configuration_sources: RefCell::default(),
            fetching_configuration: Cell::new(false),
            transfer_slots: Arc::new(Semaphore::new(configuration_transfer::MAX_TRANSFERS)),
            store_reachable: Cell::new(false),
            store_contact: Cell::new(BootClock.now()),
            watching: Cell::new(false),
            peer_socket,
            view_confirmation,
            stream_lookup,
            lending: Lending::default(),
            peer_client: RefCell::default(),
            started_at: BootClock.now(),
            configuration_known: Notify::new(),
            report_due: Notify::new(),
            discovery_due: Cell::new(false),
            lease_renewal: Notify::new(),
            store_moved: Notify::new(),
            store_unresponsive: Notify::new(),
            full_read_due: Cell::new(false),
            reread_due: Notify::new(),
            era_unreadable: Cell::new(false),
            fetch_failed: Notify::new(),
            failed_peer: Cell::new(None),
            queue_timer: Notify::new(),
            shutdown_started: Notify::new(),
            catching_up: Cell::new(false),
            writing: Cell::new(false),
            clients,
            accepting_callers: Cell::new(false),
            last_arrival: Cell::new(Millis::ZERO),
            waiters: RefCell::default(),
            event_log,
            clock: BootClock,
        })
    }

    /// Returns the current time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns the current settings.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Writes a log line.
    pub fn log(&self, event: &str, fields: Value) {
        self.event_log.log(event, fields);
    }

    /// Returns the era to which a response of the store belongs, and notes a later one.
    ///
    /// A response without an era, or with one that is no number, belongs to the latest known one.
    ///
    /// # Errors
    ///
    /// [`StoreError::WrongEra`] if its era is earlier than the latest known one, or implausible.
    pub fn check_era(&self, headers: &HeaderMap) -> Result<u64, StoreError> {
        let stated = self.stated_era(headers);
        let before = self.core.borrow().store_era();
        let check = self.core.borrow_mut().observe_store_era(stated);
        match check {
            EraCheck::Known => {}
            EraCheck::Raised => self.era_raised(before),
            EraCheck::Rejected => {
                let fields = json!({ "era": stated, "before": before });
                self.log("store_era_rejected", fields);
                return Err(StoreError::WrongEra);
            }
        }
        Ok(self.core.borrow().store_era())
    }

    /// Requests that the store's contents are read anew, and ends a watch call for it.
    pub fn request_full_read(&self) {
        self.full_read_due.set(true);
        self.reread_due.notify_waiters();
    }

    /// Completes when an open watch call is of no more use: the store has another address, or its
    /// contents have to be read anew.
    pub async fn watch_obsolete(&self) {
        tokio::select! {
            () = self.store_moved.notified() => {}
            () = self.reread_due.notified() => {}
        }
    }

    /// Logs that the store has come back from a copy, and lets this instance register again: its
    /// entry and its lease may be lost.
    pub fn era_raised(&self, before: u64) {
        let era = self.core.borrow().store_era();
        self.log("store_era", json!({ "era": era, "before": before }));
        self.lease_renewal.notify_one();
    }

    // Returns the era that a response states. One that cannot be read is logged once in a row.
    fn stated_era(&self, headers: &HeaderMap) -> Option<u64> {
        match self.interface.store.stated_era(headers) {
            Ok(stated) => {
                self.era_unreadable.set(false);
                stated
            }
            Err(err) => {
                if !self.era_unreadable.replace(true) {
                    self.log("store_era_unreadable", json!({ "error": err.to_string() }));
                }
                None
            }
        }
    }

    /// Writes the log line of a response of the store or a peer, if it is a large one.
    pub fn log_transfer(&self, transfer: &Transfer, source: &str) {
        if transfer.is_large() {
            self.log("large_response", transfer.fields(source));
        }
    }

    /// Writes the log line of a refusal, with the state on which it was based.
    pub fn log_refusal(&self, request: RefusalInfo<'_>, refusal: Refusal) {
        let now = self.now();
        let core = self.core.borrow();
        let (waiting, running) = core.scheduler().request_counts();
        let endpoints = request
            .route
            .map(|it| core.endpoint_counts(now, &it.service));
        let fields = json!({
            "id": request.id,
            "admitted": request.admitted,
            "route": request.route.map(|it| &*it.route.name),
            "rank": request.route.map(|it| it.priority.0),
            "organisation": request.organisation,
            "prompt": request.route.map(|it| it.tokens.prompt),
            "output": request.route.map(|it| it.tokens.output),
            "units": request.route.map(|it| it.quota_cost),
            "reason": refusal.reason.as_str(),
            "share": request.route.and_then(|it| share_fields(&core, now, it)),
            "long_ratio": request.route.map(|it| core.long_ratio(now, it)),
            "after_ms": refusal.retry_after.0,
            "waiting": waiting,
            "running": running,
            "endpoints": endpoints.map(|it| it.0),
            "backing_off": endpoints.map(|it| it.1),
            "peers": core.peers().instance_count(now) - 1,
            "quota_share": core.peers().fleet_share(now),
            "configuration": core.configuration_version(),
            "store": core.store_available(),
            "revision": core.store_revision(),
            "store_age_ms": now.since(self.store_contact.get()).0,
        });
        self.log("refusal", fields);
    }

    /// Sends the next report at once, also to addresses from which none has been received.
    ///
    /// Until instances receive each other's reports, each can only estimate the quota that the
    /// others use.
    pub fn broadcast_report(&self) {
        self.discovery_due.set(true);
        self.report_due.notify_one();
    }

    /// Passes buffered log lines to the writer thread.
    pub fn flush_log(&self) {
        self.event_log.flush();
    }

    /// Returns a receiver for the scheduling decision for a request.
    pub fn add_waiter(&self, ticket: Ticket) -> oneshot::Receiver<SchedulingResult> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, sender);
        receiver
    }

    /// Cancels a queued or running request, and returns its slot if that was borrowed.
    pub fn cancel(&self, ticket: Ticket) {
        self.waiters.borrow_mut().remove(&ticket);
        lending::return_slot(self, ticket);
        self.core.borrow_mut().cancel(self.now(), ticket);
        self.report_due.notify_one();
    }

    /// Starts or refuses queued requests where that is possible now, and notifies their waiters.
    pub fn decide(&self) {
        let decisions = self.core.borrow_mut().decide(self.now());
        part_quarantine::log_changes(&self.core, &self.event_log);
        for decision in decisions {
            let (ticket, result) = match decision {
                Decision::Start(ticket, endpoint) => (ticket, Ok(endpoint)),
                Decision::Refuse(ticket, refusal) => (ticket, Err(refusal)),
            };
            self.notify_waiter(ticket, result);
        }
        lending::request_slots(self);
        self.report_due.notify_one();
        if self.core.borrow().scheduler().request_counts().0 > 0 {
            self.queue_timer.notify_one();
        }
    }

    /// Sends the scheduling decision for a request to its waiter.
    pub fn notify_waiter(&self, ticket: Ticket, result: SchedulingResult) {
        // If the receiver is gone, the drop of the request's `Permit` cancels the request.
        if let Some(waiter) = self.waiters.borrow_mut().remove(&ticket)
            && waiter.send(result).is_err()
        {
            self.log("word_unheard", json!({ "ticket": ticket.0 }));
        }
    }
}

/// Returns the fields that say how an organisation's use of the slots of a request's service
/// compares to its share, or `None` while slots are not short.
pub fn share_fields(core: &Core, now: Millis, request: &RoutedRequest) -> Option<Value> {
    let state = core.share_state(now, request)?;
    Some(json!({
        "used_slots": state.used_slots,
        "share_slots": state.share_slots,
        "above": state.above_share,
    }))
}
