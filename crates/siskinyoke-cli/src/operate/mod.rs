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
const KEY: usize = 32;

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
            Self::Configuration(Configuration::Show) => show(context),
            Self::Configuration(Configuration::Apply { file }) => apply(context, file),
            Self::Preset(Preset::List) => presets(context),
            Self::Preset(Preset::Switch { name }) => switch(context, name),
            Self::Endpoint(command) => command.run(context),
            Self::Rollout(command) => command.run(context),
            Self::Key => Ok(key(context)),
        }
    }
}

fn show(context: &Context) -> Result<String, OperateError> {
    let item = in_force(context)?;
    Ok(String::from_utf8_lossy(&item.value.unwrap_or_default()).into_owned())
}

fn apply(context: &Context, file: &Path) -> Result<String, OperateError> {
    let bytes = read(file)?;
    let fault = |err| OperateError::Format(file.display().to_string(), err);
    let document = Document::parse(&bytes).map_err(fault)?;
    document.resolve().map_err(fault)?;
    let (before, revision) = match in_force(context) {
        Ok(item) => (parse(&item)?.revision, item.revision),
        Err(OperateError::Unknown(..)) => (0, 0),
        Err(err) => return Err(err),
    };
    // Instances never go back to a lower revision: such a change would be in force nowhere.
    if document.revision != before + 1 {
        return Err(OperateError::Conflict(before));
    }
    // The text is stored as it is, so that its comments last.
    write(context, names::CONFIGURATION_KEY, &bytes, revision, before)?;
    Ok(format!("revision {} is in force", document.revision))
}

fn presets(context: &Context) -> Result<String, OperateError> {
    let document = parse(&in_force(context)?)?;
    let mark = |name: &String| if *name == document.preset { "*" } else { " " };
    let lines: Vec<String> = document
        .presets
        .keys()
        .map(|name| format!("{} {name}", mark(name)))
        .collect();
    Ok(lines.join("\n"))
}

// Only the two values are replaced in the text, so that its comments last.
fn switch(context: &Context, name: &str) -> Result<String, OperateError> {
    let item = in_force(context)?;
    let document = parse(&item)?;
    if !document.presets.contains_key(name) {
        return Err(OperateError::Unknown(
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
    let text = replace(&text, "preset", &json(&document.preset), &json(name));
    let text = replace(
        &text,
        "revision",
        &document.revision.to_string(),
        &next.revision.to_string(),
    );
    let fault = |err| OperateError::Format("the changed configuration".to_owned(), err);
    let changed = Document::parse(text.as_bytes()).map_err(fault)?;
    let bytes = if changed == next {
        text.into_bytes()
    } else {
        json(&next).into_bytes()
    };
    write(
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

fn key(context: &Context) -> String {
    let drawn = rand::rng().sample_iter(&Alphanumeric).take(KEY);
    let key: String = drawn.map(char::from).collect();
    let digest = names::digest(&key);
    if context.json {
        return serde_json::json!({ "key": key, "digest": digest }).to_string();
    }
    format!(
        "key     {key}\ndigest  {digest}\n\
         Give the key to its holder and keep only the digest, in the configuration."
    )
}

fn in_force(context: &Context) -> Result<Item, OperateError> {
    let hint = "put one in force with `siskinyoke configuration apply FILE`";
    item(context, names::CONFIGURATION_KEY, hint)
}

fn item(context: &Context, key: &str, hint: &'static str) -> Result<Item, OperateError> {
    let body = context.call(&etcd::get(key))?;
    let page = Etcd.decode_range(&body).map_err(store_fault)?;
    let item = page.items.into_iter().next();
    item.ok_or_else(|| OperateError::Unknown(key.to_owned(), hint))
}

// Reads everything under a prefix.
fn items(context: &Context, prefix: &str) -> Result<Vec<Item>, OperateError> {
    let mut items = Vec::new();
    let mut after = String::new();
    loop {
        let body = context.call(&Etcd.range(&after, Consistency::Linearizable))?;
        let page = Etcd.decode_range(&body).map_err(store_fault)?;
        let last = page.items.last();
        after = last.map(|it| it.key.clone()).unwrap_or_default();
        let wanted = |it: &Item| it.key.starts_with(prefix);
        items.extend(page.items.into_iter().filter(wanted));
        if !page.more || after.is_empty() {
            return Ok(items);
        }
    }
}

fn write(
    context: &Context,
    key: &str,
    value: &[u8],
    revision: u64,
    before: u64,
) -> Result<(), OperateError> {
    let body = context.call(&etcd::swap(key, value, revision))?;
    if etcd::decode_swap(&body).map_err(store_fault)? {
        return Ok(());
    }
    Err(OperateError::Conflict(before))
}

fn read(path: &Path) -> Result<Vec<u8>, OperateError> {
    fs::read(path).map_err(|err| OperateError::Read(path.to_owned(), err))
}

fn parse(item: &Item) -> Result<Document, OperateError> {
    let value = item.value.as_deref().unwrap_or_default();
    Document::parse(value)
        .map_err(|err| OperateError::Format("the configuration in force".to_owned(), err))
}

// Replaces the value of a field where it stands first.
fn replace(text: &str, field: &str, from: &str, to: &str) -> String {
    let name = format!("\"{field}\"");
    let Some(at) = text.find(&name) else {
        return text.to_owned();
    };
    let (head, rest) = text.split_at(at);
    head.to_owned() + &rest.replacen(from, to, 1)
}

fn json(value: &(impl Serialize + ?Sized)) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

fn store_fault(err: FormatError) -> OperateError {
    OperateError::Format("the store's answer".to_owned(), err)
}
