//! Operators' commands: the configuration, its presets, the endpoints, rollouts and keys.
//!
//! They speak with the store itself; whoever may reach it may change what it holds.

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
use siskinyoke_interface::Consistency;
use siskinyoke_interface::FormatError;
use siskinyoke_interface::Item;
use siskinyoke_interface::Store;
use siskinyoke_native::configuration::Document;
use siskinyoke_native::etcd;
use siskinyoke_native::etcd::Etcd;
use siskinyoke_native::names;

/// Characters of a drawn key: 190 bits.
const KEY_LENGTH: usize = 32;

/// Operators' commands.
#[derive(Debug, Subcommand)]
pub enum Operate {
    /// Show the configuration in force or put another in force.
    #[command(subcommand)]
    Configuration(Configuration),
    /// List presets or switch to one.
    #[command(subcommand)]
    Preset(Preset),
    /// Show and change endpoints.
    #[command(subcommand)]
    Endpoint(Endpoint),
    /// Move a service's traffic to another version of its endpoints.
    #[command(subcommand)]
    Rollout(Rollout),
    /// Draw a bearer key and print it with its digest.
    Key,
}

/// What can be done with the configuration.
#[derive(Debug, Subcommand)]
pub enum Configuration {
    /// Print it as it stands in the store.
    Show,
    /// Check a file and put it in force; its revision must follow the one in force.
    Apply {
        /// JSON with comments.
        file: PathBuf,
    },
}

/// What can be done with presets.
#[derive(Debug, Subcommand)]
pub enum Preset {
    /// Print their names; a star marks the one in force.
    List,
    /// Put one in force.
    Switch {
        /// Its name.
        name: String,
    },
}

impl Operate {
    /// Runs the command and returns what it prints.
    ///
    /// # Errors
    ///
    /// Why it changed nothing, or that a write may have taken effect.
    pub fn run(&self, context: &Context) -> Result<String, OperateError> {
        match self {
            Self::Configuration(Configuration::Show) => show_configuration(context),
            Self::Configuration(Configuration::Apply { file }) => {
                apply_configuration(context, file)
            }
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

fn apply_configuration(context: &Context, file: &Path) -> Result<String, OperateError> {
    let bytes = read_file(file)?;
    let fault = |err| OperateError::InvalidDocument(file.display().to_string(), err);
    let document = Document::parse(&bytes).map_err(fault)?;
    document.resolve().map_err(fault)?;
    let (before, revision) = match current_configuration(context) {
        Ok(item) => (parse_configuration(&item)?.revision, item.revision),
        Err(OperateError::NotFound(..)) => (0, 0),
        Err(err) => return Err(err),
    };
    // Instances never go back to a lower revision: such a change would be in force nowhere.
    if document.revision != before + 1 {
        return Err(OperateError::Conflict(before));
    }
    // The text is stored as it is, so that its comments last.
    write_if_unchanged(context, names::CONFIGURATION_KEY, &bytes, revision, before)?;
    Ok(format!("revision {} is in force", document.revision))
}

fn list_presets(context: &Context) -> Result<String, OperateError> {
    let document = parse_configuration(&current_configuration(context)?)?;
    let mark = |name: &String| if *name == document.preset { "*" } else { " " };
    let lines: Vec<String> = document
        .presets
        .keys()
        .map(|name| format!("{} {name}", mark(name)))
        .collect();
    Ok(lines.join("\n"))
}

// Only the two values are replaced in the text, so that its comments last.
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
    let fault = |err| OperateError::InvalidDocument("the changed configuration".to_owned(), err);
    let changed = Document::parse(text.as_bytes()).map_err(fault)?;
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
    let drawn = rand::rng().sample_iter(&Alphanumeric).take(KEY_LENGTH);
    let key: String = drawn.map(char::from).collect();
    let digest = names::key_digest(&key);
    if context.json {
        return serde_json::json!({ "key": key, "digest": digest }).to_string();
    }
    format!(
        "key     {key}\ndigest  {digest}\n\
         Give the key to its holder and keep only the digest, in the configuration."
    )
}

fn current_configuration(context: &Context) -> Result<Item, OperateError> {
    let hint = "put one in force with `siskinyoke configuration apply FILE`";
    get_item(context, names::CONFIGURATION_KEY, hint)
}

fn get_item(context: &Context, key: &str, hint: &'static str) -> Result<Item, OperateError> {
    let body = context.call_store(&etcd::get(key))?;
    let page = Etcd.decode_range(&body).map_err(invalid_response)?;
    let item = page.items.into_iter().next();
    item.ok_or_else(|| OperateError::NotFound(key.to_owned(), hint))
}

// Reads everything under a prefix.
fn list_items(context: &Context, prefix: &str) -> Result<Vec<Item>, OperateError> {
    let mut items = Vec::new();
    let mut after = String::new();
    loop {
        let body = context.call_store(&Etcd.range(&after, Consistency::Linearizable))?;
        let page = Etcd.decode_range(&body).map_err(invalid_response)?;
        let last = page.items.last();
        after = last.map(|it| it.key.clone()).unwrap_or_default();
        let wanted = |it: &Item| it.key.starts_with(prefix);
        items.extend(page.items.into_iter().filter(wanted));
        if !page.has_more || after.is_empty() {
            return Ok(items);
        }
    }
}

fn write_if_unchanged(
    context: &Context,
    key: &str,
    value: &[u8],
    revision: u64,
    before: u64,
) -> Result<(), OperateError> {
    let body = context.call_store(&etcd::compare_and_swap(key, value, revision))?;
    if etcd::decode_txn(&body).map_err(invalid_response)? {
        return Ok(());
    }
    Err(OperateError::Conflict(before))
}

fn read_file(path: &Path) -> Result<Vec<u8>, OperateError> {
    fs::read(path).map_err(|err| OperateError::Read(path.to_owned(), err))
}

fn parse_configuration(item: &Item) -> Result<Document, OperateError> {
    let value = item.value.as_deref().unwrap_or_default();
    Document::parse(value)
        .map_err(|err| OperateError::InvalidDocument("the configuration in force".to_owned(), err))
}

// Replaces the value of a field where it stands first.
fn replace_field(text: &str, field: &str, from: &str, to: &str) -> String {
    let name = format!("\"{field}\"");
    let Some(at) = text.find(&name) else {
        return text.to_owned();
    };
    let (head, rest) = text.split_at(at);
    head.to_owned() + &rest.replacen(from, to, 1)
}

fn to_json(value: &(impl Serialize + ?Sized)) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

fn invalid_response(err: FormatError) -> OperateError {
    OperateError::InvalidDocument("the store's answer".to_owned(), err)
}
