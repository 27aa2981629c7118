//! Operators' commands for endpoints.

use std::collections::BTreeMap;
use std::path::Path;
use std::path::PathBuf;

use clap::Subcommand;
use jsonc_parser::ParseOptions;
use jsonc_parser::parse_to_serde_value;

use super::OperateError;
use super::get_item;
use super::list_items;
use super::read_file;
use super::to_json;
use super::write_if_unchanged;
use crate::context::Context;
use siskinyoke_base::Revision;
use siskinyoke_interface::FormatError;
use siskinyoke_native::documents::EndpointEntry;
use siskinyoke_native::etcd;
use siskinyoke_native::names;

/// Subcommands of `endpoint`.
#[derive(Debug, Subcommand)]
pub enum Endpoint {
    /// Print all endpoints with their entries.
    List,
    /// Write the endpoints in a file, which holds an object of entries by name.
    Apply {
        /// The file, in JSON with comments.
        file: PathBuf,
    },
    /// Send no new requests to an endpoint; its running requests continue.
    Drain {
        /// The name of the endpoint.
        name: String,
    },
    /// Send requests to a drained endpoint again.
    Undrain {
        /// The name of the endpoint.
        name: String,
    },
    /// Remove an endpoint.
    Remove {
        /// The name of the endpoint.
        name: String,
    },
}

impl Endpoint {
    /// Runs the command and returns what it prints.
    ///
    /// # Errors
    ///
    /// [`OperateError`] if nothing was changed, or if a write may have taken effect.
    pub fn run(&self, context: &Context) -> Result<String, OperateError> {
        match self {
            Self::List => list_endpoints(context),
            Self::Apply { file } => apply_endpoints(context, file),
            Self::Drain { name } => set_draining(context, name, true),
            Self::Undrain { name } => set_draining(context, name, false),
            Self::Remove { name } => {
                get_item(
                    context,
                    &endpoint_key(name),
                    "see `siskinyoke endpoint list`",
                )?;
                context.call_store(&etcd::remove(&endpoint_key(name)))?;
                Ok(format!("{name} is removed"))
            }
        }
    }
}

fn list_endpoints(context: &Context) -> Result<String, OperateError> {
    let items = list_items(context, names::ENDPOINT_PREFIX)?;
    let lines = items.iter().map(|item| {
        let name = item.key.trim_start_matches(names::ENDPOINT_PREFIX);
        let value = item.value.as_deref().unwrap_or_default();
        format!("{name}: {}", String::from_utf8_lossy(value))
    });
    Ok(lines.collect::<Vec<_>>().join("\n"))
}

// Validates all entries of a file, then writes them.
fn apply_endpoints(context: &Context, file: &Path) -> Result<String, OperateError> {
    let bytes = read_file(file)?;
    let invalid = |err| OperateError::InvalidDocument(file.display().to_string(), err);
    let text = String::from_utf8_lossy(&bytes);
    let value: serde_json::Value = parse_to_serde_value(&text, &ParseOptions::default())
        .map_err(|err| invalid(FormatError::Syntax(err.to_string())))?;
    let entries: BTreeMap<String, EndpointEntry> =
        serde_json::from_value(value).map_err(|err| invalid(err.into()))?;
    for (name, entry) in &entries {
        if entry.slots == 0 {
            let field = format!("{name}.slots");
            return Err(invalid(FormatError::InvalidValue(field, "give 1 or more")));
        }
    }
    for (name, entry) in &entries {
        put_endpoint(context, name, entry)?;
    }
    Ok(format!("{} endpoints are written", entries.len()))
}

// Sets whether an endpoint is draining; the rest of its entry is unchanged.
fn set_draining(context: &Context, name: &str, draining: bool) -> Result<String, OperateError> {
    let key = endpoint_key(name);
    let item = get_item(context, &key, "see `siskinyoke endpoint list`")?;
    let value = item.value.as_deref().unwrap_or_default();
    let entry: EndpointEntry = serde_json::from_slice(value)
        .map_err(|err| OperateError::InvalidDocument(name.to_owned(), err.into()))?;
    let entry = EndpointEntry { draining, ..entry };
    write_if_unchanged(context, &key, to_json(&entry).as_bytes(), item.revision, 0)?;
    let state = if draining {
        "draining"
    } else {
        "accepting requests"
    };
    Ok(format!("{name} is {state}"))
}

// Writes the entry of an endpoint unless another operator changes it meanwhile.
fn put_endpoint(context: &Context, name: &str, entry: &EndpointEntry) -> Result<(), OperateError> {
    let key = endpoint_key(name);
    let revision = match get_item(context, &key, "") {
        Ok(item) => item.revision,
        Err(OperateError::NotFound(..)) => Revision::ZERO,
        Err(err) => return Err(err),
    };
    write_if_unchanged(context, &key, to_json(entry).as_bytes(), revision, 0)
}

fn endpoint_key(name: &str) -> String {
    format!("{}{name}", names::ENDPOINT_PREFIX)
}
