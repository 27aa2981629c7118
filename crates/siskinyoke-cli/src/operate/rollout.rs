//! Operators' commands for rollouts, which move a service's traffic to another version.

use std::collections::BTreeMap;

use clap::Subcommand;
use serde::Serialize;

use super::OperateError;
use super::get_item;
use super::list_items;
use super::to_json;
use super::write_if_unchanged;
use crate::context::Context;
use siskinyoke_base::Revision;
use siskinyoke_interface::Item;
use siskinyoke_native::etcd;
use siskinyoke_native::names;
use siskinyoke_native::rollout;
use siskinyoke_native::rollout::RolloutOrder;
use siskinyoke_native::rollout::RolloutStatus;

/// The hint shown if a service has no rollout order.
const START_HINT: &str = "start a rollout with `siskinyoke rollout start SERVICE VERSION`";

/// Subcommands of `rollout`.
#[derive(Debug, Subcommand)]
pub enum Rollout {
    /// Move a service's traffic to a version whose endpoints run beside the current ones.
    Start {
        /// The name of the service.
        service: String,
        /// The version in the entries of the new endpoints.
        version: String,
        /// The time limit of the rollout, in seconds.
        #[arg(long, default_value_t = 600)]
        seconds: u64,
    },
    /// Print the order and the status of a service's rollout, or of all.
    Status {
        /// The name of the service.
        service: Option<String>,
    },
    /// Remove the order, which moves the traffic back.
    Abort {
        /// The name of the service.
        service: String,
    },
}

/// The rollout order and status of a service, as printed.
#[derive(Debug, Default, Serialize)]
struct RolloutRow {
    order: Option<RolloutOrder>,
    status: Option<RolloutStatus>,
}

impl Rollout {
    /// Runs the command and returns what it prints.
    ///
    /// # Errors
    ///
    /// [`OperateError`] if nothing was changed, or if a write may have taken effect.
    pub fn run(&self, context: &Context) -> Result<String, OperateError> {
        match self {
            Self::Start {
                service,
                version,
                seconds,
            } => start_rollout(context, service, version, *seconds),
            Self::Status { service } => rollout_status(context, service.as_deref()),
            Self::Abort { service } => abort_rollout(context, service),
        }
    }
}

fn start_rollout(
    context: &Context,
    service: &str,
    version: &str,
    seconds: u64,
) -> Result<String, OperateError> {
    let order = RolloutOrder {
        version: version.to_owned(),
        seconds,
    };
    let bytes = to_json(&order).into_bytes();
    // Instances ignore an order that they cannot decode.
    rollout::decode(&bytes)
        .map_err(|err| OperateError::InvalidDocument("the order".to_owned(), err))?;
    let key = order_key(service);
    let revision = match get_item(context, &key, START_HINT) {
        Ok(item) => item.revision,
        Err(OperateError::NotFound(..)) => Revision::ZERO,
        Err(err) => return Err(err),
    };
    write_if_unchanged(context, &key, &bytes, revision, revision.number)?;
    Ok(format!(
        "{service} moves to {version} within {seconds} s; see `siskinyoke rollout status`"
    ))
}

fn rollout_status(context: &Context, service: Option<&str>) -> Result<String, OperateError> {
    let mut rows: BTreeMap<String, RolloutRow> = BTreeMap::new();
    for item in list_items(context, names::ROLLOUT_ORDER_PREFIX)? {
        let name = item.key.trim_start_matches(names::ROLLOUT_ORDER_PREFIX);
        rows.entry(name.to_owned()).or_default().order = parse_value(&item)?;
    }
    for item in list_items(context, names::ROLLOUT_STATUS_PREFIX)? {
        let name = item.key.trim_start_matches(names::ROLLOUT_STATUS_PREFIX);
        rows.entry(name.to_owned()).or_default().status = parse_value(&item)?;
    }
    if let Some(service) = service {
        rows.retain(|name, _| name == service);
        if rows.is_empty() {
            return Err(OperateError::NotFound(
                format!("a rollout of {service}"),
                START_HINT,
            ));
        }
    }
    if context.json {
        return Ok(to_json(&rows));
    }
    let lines: Vec<String> = rows.iter().map(|row| format_row(row.0, row.1)).collect();
    Ok(lines.join("\n"))
}

fn abort_rollout(context: &Context, service: &str) -> Result<String, OperateError> {
    let key = order_key(service);
    get_item(context, &key, START_HINT)?;
    context.call_store(&etcd::remove(&key))?;
    Ok(format!("the rollout order of {service} is removed"))
}

fn format_row(service: &str, row: &RolloutRow) -> String {
    let order = row.order.as_ref().map_or_else(
        || "no order".to_owned(),
        |order| format!("to {} within {} s", order.version, order.seconds),
    );
    // A status left by an order of another version does not apply to this one and is not shown.
    let matches_order = |status: &&RolloutStatus| {
        let order = row.order.as_ref();
        order.is_none_or(|order| order.version == status.version)
    };
    let status = row.status.as_ref().filter(matches_order).map_or_else(
        || "no state yet".to_owned(),
        |it| format!("{} {}", it.version, to_json(&it.state).trim_matches('"')),
    );
    format!("{service}: {order}, {status}")
}

fn parse_value<T: serde::de::DeserializeOwned>(item: &Item) -> Result<Option<T>, OperateError> {
    let Some(value) = &item.value else {
        return Ok(None);
    };
    let parsed = serde_json::from_slice(value);
    parsed
        .map(Some)
        .map_err(|err| OperateError::InvalidDocument(item.key.clone(), err.into()))
}

fn order_key(service: &str) -> String {
    format!("{}{service}", names::ROLLOUT_ORDER_PREFIX)
}
