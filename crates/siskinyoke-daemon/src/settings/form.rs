//! The check of a settings file against the fields that there are.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use jsonc_parser::ast::Object;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;

use siskinyoke_control::configuration::Fault;
use siskinyoke_control::configuration::NAME_MARKS;
use siskinyoke_control::configuration::SourceFile;
use siskinyoke_control::configuration::is_address;
use siskinyoke_control::configuration::is_name;
use siskinyoke_control::configuration::join_path;

/// A field that a file may hold.
#[derive(Debug)]
pub struct Field {
    /// Its name.
    pub name: &'static str,
    /// Whether it has to be there.
    pub needed: bool,
    /// What it may hold.
    pub form: Form,
}

/// What a field may hold.
#[derive(Debug)]
pub enum Form {
    /// The name of an instance or data centre.
    Name,
    /// `host:port`.
    Address,
    /// `host:port` of a listener, whose port may be 0 for any.
    Listen,
    /// `ip:port`.
    IpAddress,
    /// `ip:port` of a listener, whose port may be 0 for any.
    IpListen,
    /// A URL that the platform's list is read from.
    Url,
    /// A whole number within bounds.
    Number(RangeInclusive<u64>),
    /// A list of one form.
    List(&'static Form),
    /// A list of one form with one element at least.
    Some(&'static Form),
    /// An object with fields.
    Object(&'static [Field]),
}

impl Form {
    /// Says what is allowed.
    fn allowed(&self) -> String {
        match self {
            Self::Name => format!("1 to 128 letters, digits or any of {NAME_MARKS}"),
            Self::Address => "host:port".into(),
            Self::Listen => "host:port, or port 0 for any".into(),
            Self::IpAddress => "ip:port".into(),
            Self::IpListen => "ip:port, or port 0 for any".into(),
            Self::Url => "a URL that begins with http:// and a host".into(),
            Self::Number(range) => format!("{} to {}", range.start(), range.end()),
            Self::List(_) => "a list".into(),
            Self::Some(_) => "a list with one element at least".into(),
            Self::Object(_) => "an object with fields".into(),
        }
    }

    /// Tells whether a text is of this form.
    fn takes_text(&self, text: &str) -> bool {
        match self {
            Self::Name => is_name(text, NAME_MARKS),
            Self::Address => is_address(text),
            Self::Listen => is_address(text) || is_address_of_any_port(text),
            Self::IpAddress => text.parse::<SocketAddr>().is_ok_and(|ip| ip.port() > 0),
            Self::IpListen => text.parse::<SocketAddr>().is_ok(),
            Self::Url => is_url(text),
            _ => false,
        }
    }

    /// Tells whether a number is of this form.
    fn takes_number(&self, text: &str) -> bool {
        let Self::Number(range) = self else {
            return false;
        };
        text.parse().is_ok_and(|number| range.contains(&number))
    }
}

/// Checks a file's object and returns every fault.
pub fn check(file: &SourceFile<'_>, fields: &'static [Field]) -> Vec<Fault> {
    let mut checker = Checker {
        file,
        faults: file.duplicates(),
    };
    checker.object("", file.root(), fields);
    checker.faults
}

struct Checker<'a> {
    file: &'a SourceFile<'a>,
    faults: Vec<Fault>,
}

impl Checker<'_> {
    fn object(&mut self, path: &str, object: &Object<'_>, fields: &'static [Field]) {
        for prop in &object.properties {
            let name = prop.name.as_str();
            let path = join_path(path, name);
            let Some(field) = fields.iter().find(|field| field.name == name) else {
                let start = prop.range().start;
                let found = "a field that is not known";
                self.fault(&path, start, found, &names(fields));
                continue;
            };
            self.value(&path, &prop.value, &field.form);
        }
        let there = |field: &&Field| {
            object
                .properties
                .iter()
                .any(|prop| prop.name.as_str() == field.name)
        };
        for field in fields.iter().filter(|field| field.needed && !there(field)) {
            let path = join_path(path, field.name);
            let start = object.range.start;
            self.fault(&path, start, "nothing", &field.form.allowed());
        }
    }

    fn value(&mut self, path: &str, value: &Value<'_>, form: &'static Form) {
        match (form, value) {
            (Form::Object(fields), Value::Object(object)) => self.object(path, object, fields),
            (Form::List(inner), Value::Array(array)) => {
                for (place, value) in array.elements.iter().enumerate() {
                    self.value(&format!("{path}[{place}]"), value, inner);
                }
            }
            (Form::Some(inner), Value::Array(array)) if !array.elements.is_empty() => {
                for (place, value) in array.elements.iter().enumerate() {
                    self.value(&format!("{path}[{place}]"), value, inner);
                }
            }
            (_, Value::StringLit(text)) if form.takes_text(&text.value) => {}
            (_, Value::NumberLit(number)) if form.takes_number(number.value) => {}
            _ => {
                let range = value.range();
                let found = self.file.part(range.start, range.end);
                self.fault(path, range.start, &short(found), &form.allowed());
            }
        }
    }

    fn fault(&mut self, path: &str, start: usize, found: &str, allowed: &str) {
        let fault = self.file.fault(path, start, found, allowed);
        self.faults.push(fault);
    }
}

/// The most of a wrong value that is shown.
const SHOWN: usize = 60;

/// Returns what was found on one line, not all of a long value.
fn short(found: &str) -> String {
    let line = found.lines().next().unwrap_or_default();
    let shown: String = line.chars().take(SHOWN).collect();
    if shown.len() == found.len() {
        shown
    } else {
        shown + " …"
    }
}

fn names(fields: &[Field]) -> String {
    let names: Vec<_> = fields.iter().map(|field| field.name).collect();
    names.join(", ")
}

fn is_address_of_any_port(text: &str) -> bool {
    let Some((host, port)) = text.rsplit_once(':') else {
        return false;
    };
    port == "0" && is_address(&format!("{host}:1"))
}

fn is_url(text: &str) -> bool {
    let rest = text.strip_prefix("http://").unwrap_or_default();
    let host = rest.split('/').next().unwrap_or_default();
    !host.is_empty() && !text.contains(char::is_whitespace)
}
