//! Commands that move a service's traffic to another version.

use std::collections::BTreeMap;

use clap::Subcommand;
use serde::Serialize;

use super::OperateError;
use super::get_item;
use super::list_items;
use super::to_json;
use super::write_if_unchanged;
use crate::context::Context;
use siskinyoke_interface::Item;
use siskinyoke_native::etcd;
use siskinyoke_native::names;
use siskinyoke_native::rollout;
use siskinyoke_native::rollout::RolloutOrder;
use siskinyoke_native::rollout::RolloutStatus;

/// What to do where no order stands.
const START_HINT: &str = "start a rollout with `siskinyoke rollout start SERVICE VERSION`";

/// What can be done with rollouts.
#[derive(Debug, Subcommand)]
pub enum Rollout {
    /// Move a service's traffic to a version whose endpoints run beside the others.
    Start {
        /// The service's name.
        service: String,
        /// The version that its new endpoints have in their entries.
        version: String,
        /// How long the move may take, in seconds.
        #[arg(long, default_value_t = 600)]
        seconds: u64,
    },
    /// Print orders with their states, of one service or of all.
    Status {
        /// The service's name.
        service: Option<String>,
    },
    /// Move the traffic back by taking the order away.
    Abort {
        /// The service's name.
        service: String,
    },
}

/// An order with its state, as it is printed.
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
    /// Why it changed nothing, or that a write may have taken effect.
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
    // Instances would pass over an order that they cannot read.
    rollout::decode(&bytes)
        .map_err(|err| OperateError::InvalidDocument("the order".to_owned(), err))?;
    let key = order_key(service);
    let revision = match get_item(context, &key, START_HINT) {
        Ok(item) => item.revision,
        Err(OperateError::NotFound(..)) => 0,
        Err(err) => return Err(err),
    };
    write_if_unchanged(context, &key, &bytes, revision, revision)?;
    Ok(format!(
        "{service} is to move to {version} within {seconds} s; see `siskinyoke rollout status`"
    ))
}

fn rollout_status(context: &Context, service: Option<&str>) -> Result<String, OperateError> {
    let mut rows: BTreeMap<String, RolloutRow> = BTreeMap::new();
    for item in list_items(context, names::ROLLOUT_ORDER_PREFIX)? {
        let name = item.key.trim_start_matches(names::ROLLOUT_ORDER_PREFIX);
        rows.entry(name.to_owned()).or_default().order = parse_value(&item)?;
    }
    for item in list_items(context, names::ROLLOUT_STATE_PREFIX)? {
        let name = item.key.trim_start_matches(names::ROLLOUT_STATE_PREFIX);
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
    Ok(format!("the order for {service} is taken away"))
}

fn format_row(service: &str, row: &RolloutRow) -> String {
    let order = row.order.as_ref().map_or_else(
        || "no order".to_owned(),
        |it| format!("to {} within {} s", it.version, it.seconds),
    );
    // The state of an earlier order says nothing of this one.
    let same = |it: &&RolloutStatus| {
        let order = row.order.as_ref();
        order.is_none_or(|order| order.version == it.version)
    };
    let state = row.status.as_ref().filter(same).map_or_else(
        || "no state yet".to_owned(),
        |it| format!("{} {}", it.version, to_json(&it.state).trim_matches('"')),
    );
    format!("{service}: {order}, {state}")
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
