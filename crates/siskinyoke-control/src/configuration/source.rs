//! A file of JSON with comments, whose faults are told with their lines.

use std::collections::BTreeSet;

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Object;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::errors::ParseError;
use jsonc_parser::parse_to_ast;

use super::Fault;

/// A file of JSON with comments that holds one object.
pub struct SourceFile<'a> {
    text: &'a str,
    root: Object<'a>,
}

impl<'a> SourceFile<'a> {
    /// Reads the text of a file; `allowed` says what kind of object it is to hold.
    ///
    /// # Errors
    ///
    /// The fault that keeps it from being read at all.
    pub fn parse(text: &'a str, allowed: &str) -> Result<Self, Fault> {
        let parsed = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default())
            .map_err(|error| syntax_fault(&error))?;
        let Some(Value::Object(root)) = parsed.value else {
            return Err(Fault::new("(file)", "no object", allowed));
        };
        Ok(Self { text, root })
    }

    /// Returns the file's object.
    pub fn root(&self) -> &Object<'a> {
        &self.root
    }

    /// Returns a part of the text, from its bytes.
    pub fn part(&self, start: usize, end: usize) -> &'a str {
        self.text.get(start..end).unwrap_or_default()
    }

    /// Makes a fault at a byte of the text.
    pub fn fault(&self, path: &str, start: usize, found: &str, allowed: &str) -> Fault {
        let mut fault = Fault::new(path, found, allowed);
        fault.line = Some(self.line_at(start));
        fault
    }

    /// Finds names that stand twice in one object; of these the later would win in silence.
    pub fn duplicates(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        self.duplicates_in("", &self.root, &mut faults);
        faults
    }

    /// Returns the line on which a path begins, or the nearest thing around it that is there.
    pub fn line_of(&self, path: &str) -> usize {
        self.line_at(locate(&self.root, path))
    }

    fn duplicates_in(&self, path: &str, object: &Object<'_>, faults: &mut Vec<Fault>) {
        let mut seen = BTreeSet::new();
        for prop in &object.properties {
            let name = prop.name.as_str();
            let path = join_path(path, name);
            if !seen.insert(name) {
                let start = prop.range().start;
                let found = "a second field of this name";
                faults.push(self.fault(&path, start, found, "each name once"));
            }
            self.duplicates_under(&path, &prop.value, faults);
        }
    }

    fn duplicates_under(&self, path: &str, value: &Value<'_>, faults: &mut Vec<Fault>) {
        match value {
            Value::Object(object) => self.duplicates_in(path, object, faults),
            Value::Array(array) => {
                for (place, value) in array.elements.iter().enumerate() {
                    self.duplicates_under(&format!("{path}[{place}]"), value, faults);
                }
            }
            _ => {}
        }
    }

    fn line_at(&self, start: usize) -> usize {
        let before = self.text.get(..start).unwrap_or(self.text);
        before.split('\n').count()
    }
}

/// Joins a field's name to the path of what it stands in.
pub fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

fn syntax_fault(error: &ParseError) -> Fault {
    let mut fault = Fault::new("(file)", error.kind().to_string(), "JSON with comments");
    fault.line = Some(error.line_display());
    fault
}

/// Finds where a path begins in the file, or the nearest thing around it that is there.
fn locate(root: &Object<'_>, path: &str) -> usize {
    let mut start = root.range.start;
    let mut object = root;
    let mut rest = path;
    loop {
        // Names of entries may hold dots, so the longest field that fits is taken.
        let fitting = object.properties.iter().filter(|prop| {
            let tail = rest.strip_prefix(prop.name.as_str());
            tail.is_some_and(|tail| tail.is_empty() || tail.starts_with(['.', '[']))
        });
        let Some(prop) = fitting.max_by_key(|prop| prop.name.as_str().len()) else {
            return start;
        };
        start = prop.range().start;
        rest = &rest[prop.name.as_str().len()..];
        let mut value = &prop.value;
        while let Some((place, tail)) = index(rest) {
            let Some(element) = value.as_array().and_then(|list| list.elements.get(place)) else {
                return start;
            };
            value = element;
            start = value.range().start;
            rest = tail;
        }
        rest = rest.strip_prefix('.').unwrap_or(rest);
        match value.as_object() {
            Some(next) if !rest.is_empty() => object = next,
            _ => return start,
        }
    }
}

fn index(rest: &str) -> Option<(usize, &str)> {
    let (place, tail) = rest.strip_prefix('[')?.split_once(']')?;
    Some((place.parse().ok()?, tail))
}
