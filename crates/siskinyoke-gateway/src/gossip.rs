//! Tells the peers how things stand here, and hears how they stand there.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use serde_json::json;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::lending;
use crate::peer_api;
use crate::rate_limits;
use crate::shell::Shell;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Message;
use siskinyoke_dispatch::Report;

/// How often an instance reports that has nothing new to say.
const REPORT_INTERVAL: Millis = Millis(100);

/// The shortest time between reports while requests wait.
///
/// A place that came free is worth a request within that time; ten milliseconds are a thirtieth
/// of a usual stay.
const LOADED_REPORT_SPACING: Millis = Millis(10);

/// The shortest time between reports while none waits: places are plenty then.
const IDLE_REPORT_SPACING: Millis = Millis(50);

/// How often addresses are tried whose instance was not heard of.
const DISCOVERY_INTERVAL: Millis = Millis(500);

/// The longest message that is sent, in bytes; longer ones may be cut up on their way.
const MAX_MESSAGE_BYTES: usize = 8 * 1024;

/// Instances of other shards that are told in each search.
const OTHER_SHARD_TARGETS: usize = 3;

/// The exchange of reports.
#[derive(Debug, Default)]
pub struct Gossip {
    // Where other instances may be, by what peers told.
    advertised: RefCell<BTreeSet<SocketAddr>>,
}

/// Binds the socket for messages between instances.
///
/// # Errors
///
/// The system's reason, with the address.
pub async fn bind(shell: &Shell, address: SocketAddr) -> std::io::Result<()> {
    let socket = UdpSocket::bind(address).await.map_err(|err| {
        std::io::Error::new(err.kind(), format!("cannot hear peers on {address}: {err}"))
    })?;
    shell.socket.get_or_init(|| socket);
    Ok(())
}

/// Sends a message to an instance; one that cannot be sent is lost, as others are on their way.
pub fn send(shell: &Shell, to: SocketAddr, message: &Message) {
    if let Some(bytes) = encode(shell, message) {
        send_bytes(shell, to, &bytes, true);
    }
}

impl Gossip {
    /// Reports for as long as the process runs.
    pub async fn send_reports(self: Rc<Self>, shell: Rc<Shell>) {
        // A new socket takes nothing before the system has said that it is writable.
        if let Some(socket) = shell.socket.get()
            && let Err(err) = socket.writable().await
        {
            shell.log("peers_untold", json!({ "error": err.to_string() }));
        }
        let mut last_search = Millis::ZERO;
        loop {
            let now = shell.now();
            let search =
                shell.search_due.replace(false) || now.since(last_search) >= DISCOVERY_INTERVAL;
            if search {
                last_search = now;
            }
            self.send_report(&shell, search);
            let spacing = if requests_waiting(&shell, now) {
                LOADED_REPORT_SPACING
            } else {
                IDLE_REPORT_SPACING
            };
            sleep(spacing.into()).await;
            // Elapsed or changed: either way the next report is due.
            let rest = Duration::from(REPORT_INTERVAL.since(spacing));
            drop(timeout(rest, shell.report_due.notified()).await);
        }
    }

    /// Hears reports for as long as the process runs.
    pub async fn receive_reports(self: Rc<Self>, shell: Rc<Shell>) {
        let mut buffer = vec![0; MAX_MESSAGE_BYTES];
        while let Some(socket) = shell.socket.get() {
            match socket.recv_from(&mut buffer).await {
                Ok((length, from)) => self.handle_message(&shell, &buffer[..length], from),
                Err(err) => {
                    shell.log("peers_unheard", json!({ "error": err.to_string() }));
                    sleep(REPORT_INTERVAL.into()).await;
                }
            }
        }
    }

    fn handle_message(&self, shell: &Rc<Shell>, bytes: &[u8], from: SocketAddr) {
        match postcard::from_bytes(bytes) {
            Ok(Message::Report(report)) => self.handle_report(shell, *report, from),
            Ok(Message::Borrow(id, need)) => lending::handle_request(shell, from, id, need),
            Ok(Message::Lend(id, grant)) => lending::handle_reply(shell, from, id, grant),
            Ok(Message::Return(id)) => {
                shell.core.borrow_mut().reclaim_slot(id);
                shell.decide();
            }
            Err(err) => {
                let fields = json!({ "from": from.to_string(), "error": err.to_string() });
                shell.log("message_unreadable", fields);
            }
        }
    }

    fn handle_report(&self, shell: &Rc<Shell>, report: Report, from: SocketAddr) {
        let mut name = String::new();
        if let Some(info) = &report.info {
            let addresses = info
                .peers
                .iter()
                .filter_map(|it| it.parse::<SocketAddr>().ok());
            self.advertised.borrow_mut().extend(addresses);
            name.clone_from(&info.name);
        }
        let revision = report.revision;
        if report.configuration == 0 && report.info.is_some() {
            Self::send_full_report(shell, from);
        }
        let fields = json!({ "peer": name, "age_ms": report.age, "from": from.to_string() });
        let first = shell.core.borrow_mut().receive_report(shell.now(), report);
        if first {
            shell.log("peer", fields);
            shell.search_due.set(true);
        }
        rate_limits::log_changes(shell);
        peer_api::catch_up(shell, from, revision);
        if shell.core.borrow().scheduler().request_counts().0 > 0 {
            shell.decide();
        }
    }

    fn send_report(&self, shell: &Shell, search: bool) {
        let recipients = self.recipients(shell, shell.now(), search);
        Self::send_report_to(shell, &recipients, search);
    }

    fn send_report_to(shell: &Shell, to: &BTreeSet<SocketAddr>, full: bool) {
        let report = shell.core.borrow_mut().next_report(shell.now(), full);
        let message = Message::Report(Box::new(report));
        let Some(bytes) = encode(shell, &message) else {
            return;
        };
        for address in to {
            // The next report is soon, so only a whole one is missed.
            send_bytes(shell, *address, &bytes, full);
        }
    }

    // Answers an instance that knows no configuration yet, so that it can take ours. It may have
    // started while the store is away, and belong to another shard, whose instances it cannot find.
    fn send_full_report(shell: &Shell, to: SocketAddr) {
        if shell.core.borrow().configuration_version() > 0 {
            Self::send_report_to(shell, &BTreeSet::from([to]), true);
        }
    }

    fn recipients(&self, shell: &Shell, now: Millis, search: bool) -> BTreeSet<SocketAddr> {
        let core = shell.core.borrow();
        let mut all: BTreeSet<SocketAddr> = core
            .peers()
            .fresh(now)
            .filter_map(|peer| peer.info.location.peer_address.parse().ok())
            .collect();
        let settings = shell.settings();
        if search {
            all.extend(discovery_targets(&core));
            if core.other_instances().next().is_none() {
                all.append(&mut self.advertised.borrow_mut());
                all.extend(&settings.seeds);
            }
        }
        all.remove(&settings.listen.peers);
        all
    }
}

fn encode(shell: &Shell, message: &Message) -> Option<Vec<u8>> {
    match postcard::to_allocvec(message) {
        Ok(bytes) if bytes.len() <= MAX_MESSAGE_BYTES => Some(bytes),
        Ok(bytes) => {
            shell.log("message_too_long", json!({ "bytes": bytes.len() }));
            None
        }
        Err(err) => {
            shell.log("message_unwritable", json!({ "error": err.to_string() }));
            None
        }
    }
}

// A peer that cannot be reached shows by its silence.
fn send_bytes(shell: &Shell, to: SocketAddr, bytes: &[u8], log_failure: bool) {
    let sent = shell.socket.get().map(|it| it.try_send_to(bytes, to));
    if let Some(Err(err)) = sent
        && log_failure
    {
        let fields = json!({ "to": to.to_string(), "error": err.to_string() });
        shell.log("message_unsent", fields);
    }
}

// The listed instances of this one's shard, and a few others by chance: so news of work that
// crashes endpoints reaches all shards in some rounds.
fn discovery_targets(core: &Core) -> Vec<SocketAddr> {
    let (members, others): (Vec<_>, Vec<_>) = core.other_instances().partition(|row| row.1);
    let some = others.choose_multiple(&mut rand::rng(), OTHER_SHARD_TARGETS);
    let places = members.iter().chain(some).map(|row| row.0);
    places
        .filter_map(|place| place.peer_address.parse().ok())
        .collect()
}

fn requests_waiting(shell: &Shell, now: Millis) -> bool {
    let core = shell.core.borrow();
    core.scheduler().request_counts().0 > 0
        || core
            .peers()
            .fresh(now)
            .any(|peer| !peer.report.waiting.is_empty())
}
