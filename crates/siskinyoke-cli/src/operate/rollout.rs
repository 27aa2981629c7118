//! Commands that move a service's traffic to another version.

use std::collections::BTreeMap;

use clap::Subcommand;
use serde::Serialize;

use super::OperateError;
use super::item;
use super::items;
use super::json;
use super::write;
use crate::context::Context;
use siskinyoke_interface::Item;
use siskinyoke_native::etcd;
use siskinyoke_native::names;
use siskinyoke_native::rollout;
use siskinyoke_native::rollout::RolloutOrder;
use siskinyoke_native::rollout::RolloutStatus;

/// What to do where no order stands.
const NO_ORDER: &str = "start a rollout with `siskinyoke rollout start SERVICE VERSION`";

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
struct Row {
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
            } => start(context, service, version, *seconds),
            Self::Status { service } => status(context, service.as_deref()),
            Self::Abort { service } => abort(context, service),
        }
    }
}

fn start(
    context: &Context,
    service: &str,
    version: &str,
    seconds: u64,
) -> Result<String, OperateError> {
    let order = RolloutOrder {
        version: version.to_owned(),
        seconds,
    };
    let bytes = json(&order).into_bytes();
    // Instances would pass over an order that they cannot read.
    rollout::decode(&bytes).map_err(|err| OperateError::Format("the order".to_owned(), err))?;
    let key = order_key(service);
    let revision = match item(context, &key, NO_ORDER) {
        Ok(item) => item.revision,
        Err(OperateError::Unknown(..)) => 0,
        Err(err) => return Err(err),
    };
    write(context, &key, &bytes, revision, revision)?;
    Ok(format!(
        "{service} is to move to {version} within {seconds} s; see `siskinyoke rollout status`"
    ))
}

fn status(context: &Context, service: Option<&str>) -> Result<String, OperateError> {
    let mut rows: BTreeMap<String, Row> = BTreeMap::new();
    for item in items(context, names::ORDER_PREFIX)? {
        let name = item.key.trim_start_matches(names::ORDER_PREFIX);
        rows.entry(name.to_owned()).or_default().order = parse(&item)?;
    }
    for item in items(context, names::STATE_PREFIX)? {
        let name = item.key.trim_start_matches(names::STATE_PREFIX);
        rows.entry(name.to_owned()).or_default().status = parse(&item)?;
    }
    if let Some(service) = service {
        rows.retain(|name, _| name == service);
        if rows.is_empty() {
            return Err(OperateError::Unknown(
                format!("a rollout of {service}"),
                NO_ORDER,
            ));
        }
    }
    if context.json {
        return Ok(json(&rows));
    }
    let lines: Vec<String> = rows.iter().map(|row| describe(row.0, row.1)).collect();
    Ok(lines.join("\n"))
}

fn abort(context: &Context, service: &str) -> Result<String, OperateError> {
    let key = order_key(service);
    item(context, &key, NO_ORDER)?;
    context.call(&etcd::remove(&key))?;
    Ok(format!("the order for {service} is taken away"))
}

fn describe(service: &str, row: &Row) -> String {
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
        |it| format!("{} {}", it.version, json(&it.state).trim_matches('"')),
    );
    format!("{service}: {order}, {state}")
}

fn parse<T: serde::de::DeserializeOwned>(item: &Item) -> Result<Option<T>, OperateError> {
    let Some(value) = &item.value else {
        return Ok(None);
    };
    let parsed = serde_json::from_slice(value);
    parsed
        .map(Some)
        .map_err(|err| OperateError::Format(item.key.clone(), err.into()))
}

fn order_key(service: &str) -> String {
    format!("{}{service}", names::ORDER_PREFIX)
}
