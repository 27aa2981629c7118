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
const BEAT: Millis = Millis(100);

/// The shortest time between reports while requests wait.
///
/// A place that came free is worth a request within that time; ten milliseconds are a thirtieth
/// of a usual stay.
const PRESSED: Millis = Millis(10);

/// The shortest time between reports while none waits: places are plenty then.
const CALM: Millis = Millis(50);

/// How often addresses are tried whose instance was not heard of.
const SEARCH: Millis = Millis(500);

/// The longest message that is sent, in bytes; longer ones may be cut up on their way.
const LARGEST: usize = 8 * 1024;

/// Instances of other shards that are told in each search.
const OTHERS: usize = 3;

/// The exchange of reports.
#[derive(Debug, Default)]
pub struct Gossip {
    // Where other instances may be, by what peers told.
    told: RefCell<BTreeSet<SocketAddr>>,
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
    pub async fn tell(self: Rc<Self>, shell: Rc<Shell>) {
        // A new socket takes nothing before the system has said that it is writable.
        if let Some(socket) = shell.socket.get()
            && let Err(err) = socket.writable().await
        {
            shell.log("peers_untold", json!({ "error": err.to_string() }));
        }
        let mut searched = Millis::ZERO;
        loop {
            let now = shell.now();
            let search = shell.search_due.replace(false) || now.since(searched) >= SEARCH;
            if search {
                searched = now;
            }
            self.report(&shell, search);
            let spacing = if pressed(&shell, now) { PRESSED } else { CALM };
            sleep(spacing.into()).await;
            // Elapsed or changed: either way the next report is due.
            let rest = Duration::from(BEAT.since(spacing));
            drop(timeout(rest, shell.report_due.notified()).await);
        }
    }

    /// Hears reports for as long as the process runs.
    pub async fn hear(self: Rc<Self>, shell: Rc<Shell>) {
        let mut buffer = vec![0; LARGEST];
        while let Some(socket) = shell.socket.get() {
            match socket.recv_from(&mut buffer).await {
                Ok((length, from)) => self.receive(&shell, &buffer[..length], from),
                Err(err) => {
                    shell.log("peers_unheard", json!({ "error": err.to_string() }));
                    sleep(BEAT.into()).await;
                }
            }
        }
    }

    fn receive(&self, shell: &Rc<Shell>, bytes: &[u8], from: SocketAddr) {
        match postcard::from_bytes(bytes) {
            Ok(Message::Report(report)) => self.take(shell, *report, from),
            Ok(Message::Borrow(id, need)) => lending::answer(shell, from, id, need),
            Ok(Message::Lend(id, grant)) => lending::answered(shell, from, id, grant),
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

    fn take(&self, shell: &Rc<Shell>, report: Report, from: SocketAddr) {
        let mut name = String::new();
        if let Some(about) = &report.info {
            let told = about
                .peers
                .iter()
                .filter_map(|it| it.parse::<SocketAddr>().ok());
            self.told.borrow_mut().extend(told);
            name.clone_from(&about.name);
        }
        let revision = report.revision;
        if report.configuration == 0 && report.info.is_some() {
            Self::introduce(shell, from);
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

    fn report(&self, shell: &Shell, search: bool) {
        let addresses = self.addresses(shell, shell.now(), search);
        Self::tell_all(shell, &addresses, search);
    }

    fn tell_all(shell: &Shell, to: &BTreeSet<SocketAddr>, whole: bool) {
        let report = shell.core.borrow_mut().next_report(shell.now(), whole);
        let message = Message::Report(Box::new(report));
        let Some(bytes) = encode(shell, &message) else {
            return;
        };
        for address in to {
            // The next report is soon, so only a whole one is missed.
            send_bytes(shell, *address, &bytes, whole);
        }
    }

    // Answers an instance that knows no configuration yet, so that it can take ours. It may have
    // started while the store is away, and belong to another shard, whose instances it cannot find.
    fn introduce(shell: &Shell, to: SocketAddr) {
        if shell.core.borrow().configuration_version() > 0 {
            Self::tell_all(shell, &BTreeSet::from([to]), true);
        }
    }

    fn addresses(&self, shell: &Shell, now: Millis, search: bool) -> BTreeSet<SocketAddr> {
        let core = shell.core.borrow();
        let mut all: BTreeSet<SocketAddr> = core
            .peers()
            .fresh(now)
            .filter_map(|peer| peer.info.location.peer_address.parse().ok())
            .collect();
        let settings = shell.settings();
        if search {
            all.extend(listed(&core));
            if core.other_instances().next().is_none() {
                all.append(&mut self.told.borrow_mut());
                all.extend(&settings.seeds);
            }
        }
        all.remove(&settings.listen.peers);
        all
    }
}

fn encode(shell: &Shell, message: &Message) -> Option<Vec<u8>> {
    match postcard::to_allocvec(message) {
        Ok(bytes) if bytes.len() <= LARGEST => Some(bytes),
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
fn send_bytes(shell: &Shell, to: SocketAddr, bytes: &[u8], missed: bool) {
    let sent = shell.socket.get().map(|it| it.try_send_to(bytes, to));
    if let Some(Err(err)) = sent
        && missed
    {
        let fields = json!({ "to": to.to_string(), "error": err.to_string() });
        shell.log("message_unsent", fields);
    }
}

// The listed instances of this one's shard, and a few others by chance: so news of work that
// crashes endpoints reaches all shards in some rounds.
fn listed(core: &Core) -> Vec<SocketAddr> {
    let (members, others): (Vec<_>, Vec<_>) = core.other_instances().partition(|row| row.1);
    let some = others.choose_multiple(&mut rand::rng(), OTHERS);
    let places = members.iter().chain(some).map(|row| row.0);
    places
        .filter_map(|place| place.peer_address.parse().ok())
        .collect()
}

fn pressed(shell: &Shell, now: Millis) -> bool {
    let core = shell.core.borrow();
    core.scheduler().request_counts().0 > 0
        || core
            .peers()
            .fresh(now)
            .any(|peer| !peer.report.waiting.is_empty())
}
