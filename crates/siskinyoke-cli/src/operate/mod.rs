//! Operators' commands for the configuration, its presets, endpoints, rollouts and API keys.
//!
//! The commands access the store directly. Anyone with access to the store can change its contents.

mod endpoint;
mod error;
mod rollout;

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use clap::Subcommand;
use rand::Rng;
use rand::distr::Alphanumeric;
use serde::Serialize;

pub use endpoint::Endpoint;
pub use error::OperateError;
pub use rollout::Rollout;

use crate::context::Context;
use siskinyoke_base::Revision;
use siskinyoke_interface::Consistency;
use siskinyoke_interface::FormatError;
use siskinyoke_interface::Item;
use siskinyoke_interface::Store;
use siskinyoke_native::configuration::Document;
use siskinyoke_native::etcd;
use siskinyoke_native::etcd::Etcd;
use siskinyoke_native::names;

/// The era of all revisions that one command reads: it keeps none from an earlier call.
const SINGLE_ERA: u64 = 0;

/// Length of a generated API key in alphanumeric characters: 190 bits.
const KEY_LENGTH: usize = 32;

/// Operators' commands.
#[derive(Debug, Subcommand)]
pub enum Operate {
    /// Show the configuration in force or replace it.
    #[command(subcommand)]
    Configuration(Configuration),
    /// List the presets or switch to another.
    #[command(subcommand)]
    Preset(Preset),
    /// List, change and drain endpoints.
    #[command(subcommand)]
    Endpoint(Endpoint),
    /// Move a service's traffic to another version of its endpoints.
    #[command(subcommand)]
    Rollout(Rollout),
    /// Generate an API key and print it with its digest.
    Key,
}

/// Subcommands of `configuration`.
#[derive(Debug, Subcommand)]
pub enum Configuration {
    /// Print the configuration as stored.
    Show,
    /// Validate a file and put it in force. Its revision must be one above the revision in force.
    Apply {
        /// The file, in JSON with comments.
        file: PathBuf,
    },
}

/// Subcommands of `preset`.
#[derive(Debug, Subcommand)]
pub enum Preset {
    /// Print the names of the presets; an asterisk marks the one in force.
    List,
    /// Put a preset in force.
    Switch {
        /// The name of the preset.
        name: String,
    },
}

impl Operate {
    /// Runs the command and returns what it prints.
    ///
    /// # Errors
    ///
    /// [`OperateError`] if nothing was changed, or if a write may have taken effect.
    pub fn run(&self, context: &Context) -> Result<String, OperateError> {
        match self {
            Self::Configuration(Configuration::Show) => show_configuration(context),
            Self::Configuration(Configuration::Apply { file }) => apply_file(context, file),
            Self::Preset(Preset::List) => list_presets(context),
            Self::Preset(Preset::Switch { name }) => switch_preset(context, name),
            Self::Endpoint(command) => command.run(context),
            Self::Rollout(command) => command.run(context),
            Self::Key => Ok(generate_key(context)),
        }
    }
}

fn show_configuration(context: &Context) -> Result<String, OperateError> {
    let item = current_configuration(context)?;
    Ok(String::from_utf8_lossy(&item.value.unwrap_or_default()).into_owned())
}

// Puts the configuration in a file in force unless another one was put in force meanwhile.
fn apply_file(context: &Context, file: &Path) -> Result<String, OperateError> {
    let bytes = read_file(file)?;
    let invalid = |err| OperateError::InvalidDocument(file.display().to_string(), err);
    let document = Document::parse(&bytes).map_err(invalid)?;
    document.resolve().map_err(invalid)?;
    let (document_revision, store_revision) = match current_configuration(context) {
        Ok(item) => (parse_configuration(&item)?.revision, item.revision),
        Err(OperateError::NotFound(..)) => (0, Revision::ZERO),
        Err(err) => return Err(err),
    };
    // Instances ignore a revision that is not above the one they use, so the change would never
    // take effect.
    if document.revision != document_revision + 1 {
        return Err(OperateError::Conflict(document_revision));
    }
    // The text is stored unchanged to preserve its comments.
    write_if_unchanged(
        context,
        names::CONFIGURATION_KEY,
        &bytes,
        store_revision,
        document_revision,
    )?;
    Ok(format!("revision {} is in force", document.revision))
}

fn list_presets(context: &Context) -> Result<String, OperateError> {
    let document = parse_configuration(&current_configuration(context)?)?;
    let marker = |name: &String| if *name == document.preset { "*" } else { " " };
    let lines: Vec<String> = document
        .presets
        .keys()
        .map(|name| format!("{} {name}", marker(name)))
        .collect();
    Ok(lines.join("\n"))
}

// Puts a preset in force. Only the preset and the revision are replaced in the text, so that its
// comments are preserved.
fn switch_preset(context: &Context, name: &str) -> Result<String, OperateError> {
    let item = current_configuration(context)?;
    let document = parse_configuration(&item)?;
    if !document.presets.contains_key(name) {
        return Err(OperateError::NotFound(
            format!("preset {name}"),
            "see `siskinyoke preset list`",
        ));
    }
    let next = Document {
        preset: name.to_owned(),
        revision: document.revision + 1,
        ..document.clone()
    };
    let bytes = item.value.unwrap_or_default();
    let text = String::from_utf8_lossy(&bytes);
    let text = replace_field(&text, "preset", &to_json(&document.preset), &to_json(name));
    let text = replace_field(
        &text,
        "revision",
        &document.revision.to_string(),
        &next.revision.to_string(),
    );
    let invalid = |err| OperateError::InvalidDocument("the changed configuration".to_owned(), err);
    let changed = Document::parse(text.as_bytes()).map_err(invalid)?;
    let bytes = if changed == next {
        text.into_bytes()
    } else {
        to_json(&next).into_bytes()
    };
    write_if_unchanged(
        context,
        names::CONFIGURATION_KEY,
        &bytes,
        item.revision,
        document.revision,
    )?;
    Ok(format!(
        "preset {name} is in force, revision {}",
        next.revision
    ))
}

fn generate_key(context: &Context) -> String {
    let characters = rand::rng().sample_iter(&Alphanumeric).take(KEY_LENGTH);
    let key: String = characters.map(char::from).collect();
    let digest = names::key_digest(&key);
    if context.json {
        return serde_json::json!({ "key": key, "digest": digest }).to_string();
    }
    format!(
        "key     {key}\ndigest  {digest}\n\
         Give the key to its user and store only the digest, in the configuration."
    )
}

fn current_configuration(context: &Context) -> Result<Item, OperateError> {
    let hint = "put a configuration in force with `siskinyoke configuration apply FILE`";
    get_item(context, names::CONFIGURATION_KEY, hint)
}

fn get_item(context: &Context, key: &str, hint: &'static str) -> Result<Item, OperateError> {
    let body = context.call_store(&etcd::get(key))?;
    let page = Etcd
        .decode_range(&body, SINGLE_ERA)
        .map_err(invalid_response)?;
    let item = page.items.into_iter().next();
    item.ok_or_else(|| OperateError::NotFound(key.to_owned(), hint))
}

// Returns all items whose keys start with a prefix.
fn list_items(context: &Context, prefix: &str) -> Result<Vec<Item>, OperateError> {
    let mut items = Vec::new();
    let mut next: Option<String> = None;
    loop {
        let call = Etcd.range(next.as_deref(), Consistency::Linearizable);
        let body = context.call_store(&call)?;
        let page = Etcd
            .decode_range(&body, SINGLE_ERA)
            .map_err(invalid_response)?;
        let matches = |item: &Item| item.key.starts_with(prefix);
        items.extend(page.items.into_iter().filter(matches));
        if page.next.is_none() {
            return Ok(items);
        }
        next = page.next;
    }
}

// Writes a value if its key still has `store_revision`, or does not exist and `store_revision` is
// 0. Otherwise reports a conflict with `reported_revision`.
fn write_if_unchanged(
    context: &Context,
    key: &str,
    value: &[u8],
    store_revision: Revision,
    reported_revision: u64,
) -> Result<(), OperateError> {
    let body = context.call_store(&etcd::compare_and_swap(key, value, store_revision))?;
    if etcd::decode_txn(&body).map_err(invalid_response)? {
        return Ok(());
    }
    Err(OperateError::Conflict(reported_revision))
}

fn read_file(path: &Path) -> Result<Vec<u8>, OperateError> {
    fs::read(path).map_err(|err| OperateError::Read(path.to_owned(), err))
}

fn parse_configuration(item: &Item) -> Result<Document, OperateError> {
    let value = item.value.as_deref().unwrap_or_default();
    Document::parse(value)
        .map_err(|err| OperateError::InvalidDocument("the configuration in force".to_owned(), err))
}

// Replaces the first occurrence of `from` after the first occurrence of the field's name.
fn replace_field(text: &str, field: &str, from: &str, to: &str) -> String {
    let name = format!("\"{field}\"");
    let Some(position) = text.find(&name) else {
        return text.to_owned();
    };
    let (head, rest) = text.split_at(position);
    head.to_owned() + &rest.replacen(from, to, 1)
}

fn to_json(value: &(impl Serialize + ?Sized)) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

fn invalid_response(err: FormatError) -> OperateError {
    OperateError::InvalidDocument("the store's response".to_owned(), err)
}
