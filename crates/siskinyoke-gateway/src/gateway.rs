//! Startup and main loop of an instance.

use std::path::PathBuf;
use std::rc::Rc;

use bytes::Bytes;
use serde_json::json;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::cluster_view;
use crate::gossip;
use crate::listener;
use crate::listener::ListenerKind;
use crate::log_writer::LogWriter;
use crate::probes;
use crate::quarantine_writer::QuarantineWriter;
use crate::registration;
use crate::reload;
use crate::rollouts;
use crate::settings::Settings;
use crate::shell::Shell;
use crate::signals;
use crate::store::Client;
use crate::store::StoreError;
use crate::store_writes;
use crate::stream_writer::StreamWriter;
use crate::watcher;
use siskinyoke_base::Millis;
use siskinyoke_base::Revision;
use siskinyoke_dispatch::core::Identity;
use siskinyoke_dispatch::quota::QuotaPolicy;
use siskinyoke_interface::Call;

/// How often queued requests are rescheduled while there are any.
const QUEUE_POLL_INTERVAL: Millis = Millis(10);

/// How often expired state is removed and buffered log lines are passed to the writer thread.
const SWEEP_INTERVAL: Millis = Millis(200);

/// Time limit for a write of records: of streams' versions, or of requests in quarantine.
const RECORD_WRITE_TIMEOUT: Millis = Millis(1_000);

/// Time limit for a read of the store's revision.
const REVISION_READ_TIMEOUT: Millis = Millis(300);

/// Runs an instance until it receives `SIGTERM`.
///
/// One thread serves everything: an instance has a fraction of one CPU core, where passing work
/// between threads costs more than it gains.
///
/// # Errors
///
/// Returns the reason if the instance cannot start.
pub fn run(settings: Settings, path: PathBuf) -> Result<(), Box<dyn std::error::Error>> {
    run_with(settings, path, LogWriter::start(std::io::stdout()))
}

/// Runs an instance that discards its log lines, as one of several in a process.
///
/// # Errors
///
/// Returns the reason if the instance cannot start.
pub fn run_without_log(
    settings: Settings,
    path: PathBuf,
) -> Result<(), Box<dyn std::error::Error>> {
    run_with(settings, path, LogWriter::start(std::io::sink()))
}

fn run_with(
    settings: Settings,
    path: PathBuf,
    log_writer: LogWriter,
) -> Result<(), Box<dyn std::error::Error>> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(settings, path, log_writer))
}

async fn serve(
    settings: Settings,
    path: PathBuf,
    log_writer: LogWriter,
) -> Result<(), Box<dyn std::error::Error>> {
    let listen = settings.listen.clone();
    let metrics = std::net::SocketAddr::new(settings.ip, settings.metrics);
    let listeners = [
        (listen.callers, ListenerKind::Callers),
        (listen.health, ListenerKind::Health),
        (listen.directory, ListenerKind::Directory),
        (listen.peers, ListenerKind::PeerApi),
        (metrics, ListenerKind::Metrics),
    ];
    let identity = identity(&settings);
    let shell = Rc::new(Shell::new(
        settings.interface.build(),
        settings,
        identity,
        log_writer,
    )?);
    shell.peer_socket.bind(listen.peers).await?;
    shell.log("start", json!({ "version": env!("CARGO_PKG_VERSION") }));
    for (address, kind) in listeners {
        let listener = listener::bind(address).await?;
        spawn_local(listener::accept(shell.clone(), listener, kind));
    }
    spawn_local(gossip::send_reports(shell.clone()));
    spawn_local(gossip::receive_messages(shell.clone()));
    spawn_local(watcher::run(shell.clone()));
    spawn_local(registration::maintain(shell.clone()));
    spawn_local(reload::poll_file(shell.clone(), path.clone()));
    spawn_local(signals::reload_on_signal(shell.clone(), path));
    spawn_local(write_streams(shell.clone()));
    spawn_local(write_quarantine(shell.clone()));
    spawn_local(confirm_views(shell.clone()));
    let connections = shell.clients.connections.clone();
    spawn_local(async move { connections.make_room().await });
    spawn_local(poll_queue(shell.clone()));
    spawn_local(run_periodic_tasks(shell.clone()));
    signals::stop_on_signal(shell).await?;
    Ok(())
}

fn identity(settings: &Settings) -> Identity {
    Identity {
        name: settings.instance.clone(),
        location: settings.location(),
        incarnation: rand::random(),
        retry_ratio: settings.bounds.retry_ratio,
        retry_slack: settings.bounds.retry_slack,
        max_exposure: settings.bounds.exposure_share,
        settling_time: Millis(settings.bounds.settle_ms),
        share_weights: settings.shares,
        quota_policy: QuotaPolicy {
            window: settings.quota_window(),
            overage: settings.bounds.quota_overage,
            slack: settings.bounds.quota_slack,
        },
    }
}

// Writes the versions at which streams began to the store.
async fn write_streams(shell: Rc<Shell>) {
    let writer = StreamWriter::new(
        shell.core.clone(),
        shell.stream_lookup.clone(),
        shell.interface.clone(),
        shell.event_log.clone(),
        &shell.settings().instance,
    );
    writer.run(record_call(shell, "streams")).await;
}

// Writes the requests in quarantine to the store.
async fn write_quarantine(shell: Rc<Shell>) {
    let writer = QuarantineWriter::new(
        shell.core.clone(),
        shell.interface.clone(),
        shell.event_log.clone(),
        &shell.settings().instance,
    );
    writer.run(record_call(shell, "quarantine")).await;
}

// Returns a function that makes calls to write records; `kind` names them in metrics.
fn record_call(
    shell: Rc<Shell>,
    kind: &'static str,
) -> impl AsyncFnMut(&Call) -> Result<Bytes, StoreError> {
    let mut client = Client::default();
    async move |call: &Call| {
        let address = shell.settings().store;
        let result = client.call(address, call, RECORD_WRITE_TIMEOUT).await;
        shell.metrics.record_store_call(kind, result.is_ok());
        result
    }
}

// Reads the store's revision when the view has to be confirmed.
async fn confirm_views(shell: Rc<Shell>) {
    let mut client = Client::default();
    let confirmation = shell.view_confirmation.clone();
    let read = async move || {
        let result = read_revision(&shell, &mut client).await;
        shell.metrics.record_store_call("revision", result.is_ok());
        if let Err(err) = &result {
            shell.log("view_unconfirmed", json!({ "error": err.to_string() }));
        }
        result
    };
    confirmation.run(read).await;
}

async fn read_revision(shell: &Shell, client: &mut Client) -> Result<Revision, StoreError> {
    let store = &shell.interface.store;
    let address = shell.settings().store;
    let call = store.latest_revision();
    let body = client.call(address, &call, REVISION_READ_TIMEOUT).await?;
    let era = shell.check_era(client.headers())?;
    Ok(store.decode_latest_revision(&body, era)?)
}

// Reschedules queued requests periodically; sleeps while there are none.
async fn poll_queue(shell: Rc<Shell>) {
    loop {
        shell.queue_timer.notified().await;
        sleep(QUEUE_POLL_INTERVAL.into()).await;
        shell.decide();
    }
}

async fn run_periodic_tasks(shell: Rc<Shell>) {
    loop {
        sleep(SWEEP_INTERVAL.into()).await;
        let now = shell.now();
        shell.core.borrow_mut().sweep(now);
        shell.configuration_sources.borrow_mut().remove_expired(now);
        cluster_view::update_store_status(&shell);
        rollouts::advance(&shell);
        store_writes::send_due(&shell);
        shell.pool.remove_expired();
        probes::start_due(&shell);
        shell.lending.remove_expired(now);
        shell.flush_log();
    }
}
