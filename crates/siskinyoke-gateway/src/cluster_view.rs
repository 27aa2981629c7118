//! Applies updates from the store or from a peer to this instance's view of the cluster.

use std::fmt::Display;

use bytes::Bytes;
use serde_json::json;

use crate::configuration_copy::ConfigurationCopy;
use crate::quarantine_writer;
use crate::replica::Update;
use crate::rollouts;
use crate::shell::Shell;
use crate::stream_writer;
use siskinyoke_base::Revision;
use siskinyoke_dispatch::StoreUpdate;
use siskinyoke_dispatch::report::InstanceLocation;
use siskinyoke_dispatch::rollout::Order;
use siskinyoke_dispatch::rollout::Status;
use siskinyoke_dispatch::version_history::VersionNote;
use siskinyoke_interface::FormatError;
use siskinyoke_interface::Item;
use siskinyoke_interface::ItemKind;
use siskinyoke_interface::endpoint::parse_address;

/// Maximum number of organisations listed in the log line of a new configuration.
const MAX_LOGGED_ORGANISATIONS: usize = 8;

/// Applies changes or a full state from the store, which include the configuration.
pub fn apply_from_store(shell: &Shell, mut update: Update) {
    let documents = &shell.interface.documents;
    let is_configuration =
        |item: &mut Item| documents.item_kind(&item.key) == ItemKind::Configuration;
    let configurations = update.items.extract_if(.., is_configuration);
    // Only the last one matters: decoding a large one takes a while.
    let newest = configurations.max_by_key(|item| item.revision);
    let revision = update.revision;
    apply(shell, update, "store");
    // Quota buckets are filled by the number of listed instances.
    if let Some(value) = newest.and_then(|item| item.value) {
        let value = Bytes::from(value);
        let copy = ConfigurationCopy::Plain(value.clone());
        apply_configuration(shell, &value, copy, "store");
    }
    let mut replica = shell.replica.borrow_mut();
    replica.record_configuration(revision);
}

/// Applies changes or a full state other than the configuration; an update that is not newer than
/// the replica has no effect.
pub fn apply(shell: &Shell, mut update: Update, source: &str) {
    restore_records(shell, &mut update);
    let before = shell.replica.borrow().revision();
    let full = update.full;
    let stated = update.revision;
    let items = shell.replica.borrow_mut().apply_update(update);
    let revision = shell.replica.borrow().revision();
    if revision == before {
        if full {
            let fields = json!({ "source": source, "revision": stated, "known": before });
            shell.log("store_read_ignored", fields);
        }
        return;
    }
    // Must run before removals are applied: entries that expired during a store outage get a grace
    // period to return.
    update_store_status(shell);
    let count = items.len();
    let updates: Vec<StoreUpdate> = items
        .into_iter()
        .filter_map(|item| decode(shell, item))
        .collect();
    // The first read contains every endpoint, so its endpoints are not logged.
    if !before.is_zero() {
        for update in &updates {
            log_endpoint(shell, update);
        }
    }
    let mut core = shell.core.borrow_mut();
    if full && !before.is_zero() {
        core.interrupt_version_history();
    }
    core.apply_updates(shell.now(), revision, updates);
    drop(core);
    let fields = json!({
        "source": source,
        "revision": revision,
        "before": before,
        "whole": full,
        "changes": count,
    });
    shell.log("store_read", fields);
    if count == 0 && !full {
        // Peers learn of the revision from the next report.
        return;
    }
    rollouts::advance(shell);
    // Report the new state to other shards at once.
    shell.broadcast_report();
    shell.decide();
}

// Records what the store holds of streams and of requests in quarantine. It is not passed on to peers,
// which ask for a stream when they need to know it, and learn of requests by reports.
fn restore_records(shell: &Shell, update: &mut Update) {
    let documents = &shell.interface.documents;
    let is_record = |item: &mut Item| {
        let kind = documents.item_kind(&item.key);
        matches!(kind, ItemKind::StreamRecords | ItemKind::Quarantines)
    };
    let items: Vec<_> = update.items.extract_if(.., is_record).collect();
    for item in items {
        let Some(value) = item.value else { continue };
        let key = ("key", &*item.key);
        if documents.item_kind(&item.key) == ItemKind::StreamRecords {
            let decoded = stream_writer::decode(&value);
            if let Some(records) = readable(shell, decoded, "stream_records_unreadable", key) {
                let mut core = shell.core.borrow_mut();
                core.restore_streams(shell.now(), &records);
            }
        } else {
            let decoded = quarantine_writer::decode(&value);
            if let Some(requests) = readable(shell, decoded, "quarantine_unreadable", key) {
                let mut core = shell.core.borrow_mut();
                core.restore_quarantine(shell.now(), &requests);
            }
        }
    }
}

/// Updates whether any instance of the shard can reach the store, and logs a change.
pub fn update_store_status(shell: &Shell) {
    let changed = shell
        .core
        .borrow_mut()
        .update_store_availability(shell.now());
    let Some(unavailable) = changed else { return };
    let event = if unavailable {
        "store_away"
    } else {
        "store_back"
    };
    let mut core = shell.core.borrow_mut();
    let fields = json!({
        "peers": core.peers().instance_count(shell.now()) - 1,
        "kept_ms": core.registry().removal_grace(shell.now()).0,
    });
    drop(core);
    shell.log(event, fields);
}

// Decodes an item, which may come from another writer; an invalid one is logged.
fn decode(shell: &Shell, item: Item) -> Option<StoreUpdate> {
    match shell.interface.documents.item_kind(&item.key) {
        ItemKind::Endpoint(id) => match item.value {
            Some(value) => Some(decode_endpoint(shell, id, &value)),
            None => Some(StoreUpdate::EndpointRemoved(id.to_owned())),
        },
        ItemKind::Instance(name) => match item.value {
            Some(value) => decode_instance(shell, name, &value),
            None => Some(StoreUpdate::InstanceRemoved(name.to_owned())),
        },
        ItemKind::RolloutOrder(service) => {
            let Some(value) = item.value else {
                return Some(StoreUpdate::RolloutOrderRemoved(service.into()));
            };
            decode_order(shell, service, &value, item.revision).map(StoreUpdate::RolloutOrder)
        }
        ItemKind::RolloutStatus(service) => {
            let status = decode_status(shell, service, &item.value?, item.revision)?;
            Some(StoreUpdate::RolloutStatus(service.into(), status))
        }
        ItemKind::VersionNote(service) => {
            let Some(value) = item.value else {
                return Some(StoreUpdate::VersionNoteRemoved(service.into()));
            };
            decode_version_note(shell, service, &value, item.revision).map(StoreUpdate::VersionNote)
        }
        ItemKind::Configuration
        | ItemKind::StreamRecords
        | ItemKind::Quarantines
        | ItemKind::Other => None,
    }
}

// An entry that cannot be read names no endpoint, so the one that it named before is gone.
fn decode_endpoint(shell: &Shell, id: &str, value: &[u8]) -> StoreUpdate {
    let decoded = shell.interface.documents.decode_endpoint(id, value);
    let endpoint = readable(shell, decoded, "endpoint_unreadable", ("endpoint", id));
    endpoint.map_or_else(
        || StoreUpdate::EndpointRemoved(id.to_owned()),
        StoreUpdate::Endpoint,
    )
}

fn decode_order(shell: &Shell, service: &str, value: &[u8], revision: Revision) -> Option<Order> {
    let documents = &shell.interface.documents;
    let decoded = documents.decode_rollout_order(service, value);
    let event = "rollout_order_unreadable";
    let order = readable(shell, decoded, event, ("service", service))?;
    let fields = json!({
        "service": service,
        "version": &*order.version,
        "span_ms": order.duration.0,
        "revision": revision,
    });
    shell.log("rollout_order", fields);
    Some(Order {
        service: service.into(),
        version: order.version.into(),
        duration: order.duration,
        revision,
    })
}

fn decode_status(shell: &Shell, service: &str, value: &[u8], revision: Revision) -> Option<Status> {
    let decoded = shell.interface.documents.decode_rollout_status(value);
    let event = "rollout_state_unreadable";
    let (state, version) = readable(shell, decoded, event, ("service", service))?;
    Some(Status {
        state,
        version: version.into(),
        revision,
    })
}

fn decode_version_note(
    shell: &Shell,
    service: &str,
    value: &[u8],
    revision: Revision,
) -> Option<VersionNote> {
    let decoded = shell.interface.documents.decode_version_note(value);
    let event = "version_note_unreadable";
    let versions = readable(shell, decoded, event, ("service", service))?;
    Some(VersionNote {
        service: service.into(),
        versions: versions.into_iter().map(Into::into).collect(),
        revision,
    })
}

fn decode_instance(shell: &Shell, name: &str, value: &[u8]) -> Option<StoreUpdate> {
    let decoded = decode_location(value);
    let location = readable(shell, decoded, "instance_unreadable", ("instance", name))?;
    Some(StoreUpdate::Instance(name.to_owned(), location))
}

fn decode_location(value: &[u8]) -> Result<InstanceLocation, FormatError> {
    let location: InstanceLocation = serde_json::from_slice(value)?;
    parse_address("inner", &location.peer_address)?;
    Ok(location)
}

// Returns a decoded value, or logs why it cannot be read; `subject` names the item in the log line.
fn readable<T, E: Display>(
    shell: &Shell,
    decoded: Result<T, E>,
    event: &str,
    subject: (&str, &str),
) -> Option<T> {
    let (kind, name) = subject;
    decoded
        .map_err(|err| shell.log(event, json!({ kind: name, "error": err.to_string() })))
        .ok()
}

fn log_endpoint(shell: &Shell, update: &StoreUpdate) {
    match update {
        StoreUpdate::Endpoint(endpoint) => {
            let fields = json!({
                "endpoint": &*endpoint.id,
                "born": endpoint.started_ms,
                "service": &*endpoint.service,
                "draining": endpoint.draining,
            });
            shell.log("endpoint", fields);
        }
        StoreUpdate::EndpointRemoved(id) => {
            let kept = shell
                .core
                .borrow_mut()
                .registry()
                .removal_grace(shell.now());
            let fields = json!({ "endpoint": id, "kept_ms": kept.0 });
            shell.log("endpoint_gone", fields);
        }
        StoreUpdate::Instance(..)
        | StoreUpdate::InstanceRemoved(_)
        | StoreUpdate::RolloutOrder(_)
        | StoreUpdate::RolloutOrderRemoved(_)
        | StoreUpdate::RolloutStatus(..)
        | StoreUpdate::VersionNote(_)
        | StoreUpdate::VersionNoteRemoved(_) => {}
    }
}

/// Applies a configuration if it is newer than the active one, and returns whether it was applied.
///
/// The copy is kept for peers.
pub fn apply_configuration(
    shell: &Shell,
    bytes: &[u8],
    copy: ConfigurationCopy,
    source: &str,
) -> bool {
    let decoded = shell.interface.documents.decode_configuration(bytes);
    let event = "configuration_unreadable";
    let Some(configuration) = readable(shell, decoded, event, ("source", source)) else {
        return false;
    };
    let version = configuration.version;
    let quotas: Vec<_> = configuration
        .organisations()
        .iter()
        .take(MAX_LOGGED_ORGANISATIONS)
        .map(|it| json!([&*it.name, it.priority, it.rate, it.burst]))
        .collect();
    let before = shell.core.borrow().configuration_version();
    if !shell
        .core
        .borrow_mut()
        .configure(shell.now(), configuration)
    {
        return false;
    }
    shell.configuration_copy.replace(Some(copy));
    let fields =
        json!({ "version": version, "before": before, "source": source, "quotas": quotas });
    shell.log("configuration", fields);
    shell.configuration_known.notify_waiters();
    // Others can get it from here now.
    shell.broadcast_report();
    true
}
