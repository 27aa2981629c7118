//! Exchange of state reports between instances.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use serde_json::json;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::configuration_transfer;
use crate::departures;
use crate::lending;
use crate::peer_api;
use crate::peer_socket::MAX_MESSAGE_BYTES;
use crate::rate_limits;
use crate::rejection_limits;
use crate::shell::Shell;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Message;
use siskinyoke_dispatch::Report;

/// Maximum interval between reports, used while nothing changes.
const REPORT_INTERVAL: Millis = Millis(100);

/// Minimum interval between reports while requests wait.
///
/// A freed slot can stay unused until peers learn of it. Ten milliseconds are a thirtieth of a
/// usual service time.
const LOADED_REPORT_SPACING: Millis = Millis(10);

/// Minimum interval between reports while no request waits, when slots are plentiful.
const IDLE_REPORT_SPACING: Millis = Millis(50);

/// Interval at which addresses are contacted from which no report has been received.
const DISCOVERY_INTERVAL: Millis = Millis(500);

/// Number of instances of other shards contacted in each discovery round.
const OTHER_SHARD_TARGETS: usize = 3;

/// Decodes a message.
///
/// A report of an earlier version of this program ends before the era of its revision, which is
/// then that of a store that names none, or before what its sender relays, what it knows of
/// rejections, of the shares of organisations, of versions under evaluation, of prompt parts, of
/// sound requests, of silent attempts, of part intervals and of the sizes served, which is then
/// nothing.
///
/// # Errors
///
/// The message is malformed.
pub fn decode(bytes: &[u8]) -> postcard::Result<Message> {
    match postcard::from_bytes(bytes) {
        Err(postcard::Error::DeserializeUnexpectedEnd) => {
            postcard::from_bytes(&[bytes, &[0; 10]].concat())
        }
        result => result,
    }
}

/// Sends reports for as long as the process runs.
pub async fn send_reports(shell: Rc<Shell>) {
    // `try_send_to` fails on a new socket until it has been reported as writable.
    if let Some(socket) = shell.peer_socket.get()
        && let Err(err) = socket.writable().await
    {
        shell.log("peers_untold", json!({ "error": err.to_string() }));
    }
    let mut last_discovery = Millis::ZERO;
    loop {
        let now = shell.now();
        let discover =
            shell.discovery_due.replace(false) || now.since(last_discovery) >= DISCOVERY_INTERVAL;
        if discover {
            last_discovery = now;
        }
        send_report(&shell, discover);
        let spacing = if requests_waiting(&shell, now) {
            LOADED_REPORT_SPACING
        } else {
            IDLE_REPORT_SPACING
        };
        sleep(spacing.into()).await;
        // After either a time-out or a notification, the next report is due.
        let remaining = Duration::from(REPORT_INTERVAL.since(spacing));
        drop(timeout(remaining, shell.report_due.notified()).await);
    }
}

/// Receives messages for as long as the process runs.
pub async fn receive_messages(shell: Rc<Shell>) {
    let mut buffer = vec![0; MAX_MESSAGE_BYTES];
    while let Some(socket) = shell.peer_socket.get() {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => handle_message(&shell, &buffer[..length], from),
            Err(err) => {
                shell.log("peers_unheard", json!({ "error": err.to_string() }));
                sleep(REPORT_INTERVAL.into()).await;
            }
        }
    }
}

fn handle_message(shell: &Rc<Shell>, bytes: &[u8], from: SocketAddr) {
    match decode(bytes) {
        Ok(Message::Report(report)) => handle_report(shell, *report, from),
        Ok(Message::Borrow(id, request)) => lending::handle_request(shell, from, id, request),
        Ok(Message::Lend(id, grant)) => lending::handle_reply(shell, from, id, grant),
        Ok(Message::Return(id)) => {
            shell.core.borrow_mut().reclaim_slot(id);
            shell.decide();
        }
        Ok(Message::StreamVersions(records)) => shell.stream_lookup.handle_records(&records),
        Ok(Message::FindStream(number, question)) => {
            shell.stream_lookup.handle_question(from, number, &question);
        }
        Ok(Message::StreamOrigin(number, origin)) => {
            shell.stream_lookup.handle_reply(number, origin);
        }
        Err(err) => {
            let fields = json!({ "from": from.to_string(), "error": err.to_string() });
            shell.log("message_unreadable", fields);
        }
    }
}

fn handle_report(shell: &Rc<Shell>, report: Report, from: SocketAddr) {
    let mut name = String::new();
    if let Some(info) = &report.info {
        name.clone_from(&info.name);
    }
    let revision = report.revision();
    let configuration = report.configuration;
    if report.configuration == 0 && report.info.is_some() {
        send_full_report(shell, from);
    }
    let fields = json!({ "peer": name, "age_ms": report.age, "from": from.to_string() });
    let is_new_process = shell.core.borrow_mut().receive_report(shell.now(), report);
    if is_new_process {
        shell.log("peer", fields);
        shell.discovery_due.set(true);
    }
    departures::log_reported(shell);
    rate_limits::log_changes(shell);
    rejection_limits::log_changes(shell);
    peer_api::catch_up(shell, from, revision);
    record_configuration(shell, from, configuration);
    if shell.core.borrow().scheduler().request_counts().0 > 0 {
        shell.decide();
    }
}

// Records the version of a peer's configuration, and fetches it if it is newer.
fn record_configuration(shell: &Rc<Shell>, from: SocketAddr, version: u64) {
    let now = shell.now();
    let mut core = shell.core.borrow_mut();
    core.record_peer_configuration(now, version);
    let newer = version > core.configuration_version();
    drop(core);
    let mut sources = shell.configuration_sources.borrow_mut();
    sources.record(now, from, version);
    drop(sources);
    if newer {
        configuration_transfer::start(shell);
    }
}

fn send_report(shell: &Shell, discover: bool) {
    let recipients = recipients(shell, shell.now(), discover);
    send_report_to(shell, &recipients, |core, now| {
        core.next_report(now, discover)
    });
}

fn send_report_to(
    shell: &Shell,
    to: &BTreeSet<SocketAddr>,
    build: impl FnOnce(&mut Core, Millis) -> Report,
) {
    let mut core = shell.core.borrow_mut();
    core.set_relayed_count(shell.relay.in_flight());
    let report = build(&mut core, shell.now());
    drop(core);
    let full = report.info.is_some();
    let message = Message::Report(Box::new(report));
    let Some(bytes) = shell.peer_socket.encode(&message) else {
        return;
    };
    for address in to {
        // Other reports are soon followed by the next one, so only failures of full reports are
        // logged.
        shell.peer_socket.send_bytes(*address, &bytes, full);
    }
}

// Sends a full report to an instance that has no configuration yet, so that it can fetch one.
// It may have started during a store outage and belong to another shard, whose instances it
// cannot find by itself.
fn send_full_report(shell: &Shell, to: SocketAddr) {
    if shell.core.borrow().configuration_version() > 0 {
        send_report_to(shell, &BTreeSet::from([to]), Core::unicast_report);
    }
}

// Returns the peers that currently report. A discovery round adds those that may be found.
fn recipients(shell: &Shell, now: Millis, discover: bool) -> BTreeSet<SocketAddr> {
    let mut core = shell.core.borrow_mut();
    let mut all: BTreeSet<SocketAddr> = core
        .peers()
        .fresh(now)
        .filter_map(|peer| peer.info.location.peer_address.parse().ok())
        .collect();
    let settings = shell.settings();
    if discover {
        all.extend(discovery_targets(&mut core));
        if core.other_instances().next().is_none() {
            all.extend(&settings.seeds);
        }
    }
    all.remove(&settings.listen.peers);
    all
}

// Returns the addresses at which instances of this shard may be found, and a few random ones of
// other shards, so that reports of poison requests reach all shards within a few rounds.
fn discovery_targets(core: &mut Core) -> Vec<SocketAddr> {
    let mut addresses = core.discovery_addresses();
    let others: Vec<_> = core.other_instances().filter(|row| !row.1).collect();
    let sample = others.choose_multiple(&mut rand::rng(), OTHER_SHARD_TARGETS);
    addresses.extend(sample.map(|row| row.0.peer_address.clone()));
    let addresses = addresses.iter();
    addresses.filter_map(|it| it.parse().ok()).collect()
}

// Returns whether requests wait at this instance or at a peer.
fn requests_waiting(shell: &Shell, now: Millis) -> bool {
    let core = shell.core.borrow();
    core.scheduler().request_counts().0 > 0
        || core
            .peers()
            .fresh(now)
            .any(|peer| !peer.report.waiting.is_empty())
}
