//! The reading of a configuration file: JSON with comments, every fault with its line.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Object;
use jsonc_parser::ast::ObjectProp;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::errors::ParseError;
use jsonc_parser::parse_to_ast;
use jsonc_parser::parse_to_serde_value;
use serde::de::DeserializeOwned;

use super::ConfigurationDoc;
use super::Fault;
use super::check::check;
use siskinyoke_base::EndpointId;
use siskinyoke_base::OrganisationId;

/// The fields of a configuration file.
const FIELDS: &str = "preset, tiers, presets, endpoints, organisations, operators, pools";

/// Reads and checks a configuration file.
///
/// # Errors
///
/// Every fault that was found, in the order of the file.
pub fn read_file(text: &str) -> Result<ConfigurationDoc, Vec<Fault>> {
    let options = ParseOptions::default();
    let parsed = parse_to_ast(text, &CollectOptions::default(), &options)
        .map_err(|error| vec![syntax_fault(&error)])?;
    let Some(Value::Object(root)) = &parsed.value else {
        let fault = Fault::new("(file)", "no object", "an object with the documents");
        return Err(vec![fault]);
    };
    let mut reader = Reader {
        text,
        faults: Vec::new(),
    };
    reader.duplicates("", &Value::Object(root.clone()));
    let doc = reader.document(root);
    let mut faults = reader.faults;
    if faults.is_empty() {
        faults = check(&doc);
        for fault in &mut faults {
            fault.line = Some(line_at(text, locate(root, &fault.path)));
        }
    }
    if faults.is_empty() {
        return Ok(doc);
    }
    faults.sort_by_key(|fault| fault.line);
    Err(faults)
}

/// Reads the parts of a file one by one, so that one fault does not hide the others.
struct Reader<'a> {
    text: &'a str,
    faults: Vec<Fault>,
}

impl Reader<'_> {
    fn document(&mut self, root: &Object<'_>) -> ConfigurationDoc {
        let mut doc = ConfigurationDoc::default();
        for prop in &root.properties {
            let name = prop.name.as_str();
            match name {
                "preset" => doc.preset = self.part(name, &prop.value).unwrap_or_default(),
                "tiers" => doc.tiers = self.list(name, prop),
                "presets" => doc.presets = self.entries(prop, str::to_owned),
                "endpoints" => doc.endpoints = self.entries(prop, EndpointId::new),
                "organisations" => doc.organisations = self.entries(prop, OrganisationId::new),
                "operators" => doc.operators = self.entries(prop, str::to_owned),
                "pools" => doc.pools = self.entries(prop, str::to_owned),
                _ => {
                    let found = "a field that is not known";
                    self.fault(name, prop.range().start, found, FIELDS);
                }
            }
        }
        doc
    }

    fn list<T: DeserializeOwned>(&mut self, path: &str, prop: &ObjectProp<'_>) -> Vec<T> {
        let Value::Array(array) = &prop.value else {
            self.fault(path, prop.range().start, "no list", "a list");
            return Vec::new();
        };
        let mut items = Vec::new();
        for (place, value) in array.elements.iter().enumerate() {
            items.extend(self.part(&format!("{path}[{place}]"), value));
        }
        items
    }

    fn entries<K: Ord, V: DeserializeOwned>(
        &mut self,
        prop: &ObjectProp<'_>,
        name: impl Fn(&str) -> K,
    ) -> BTreeMap<K, V> {
        let path = prop.name.as_str();
        let Value::Object(object) = &prop.value else {
            self.fault(path, prop.range().start, "no object", "an object by names");
            return BTreeMap::new();
        };
        let mut entries = BTreeMap::new();
        for entry in &object.properties {
            let path = format!("{path}.{}", entry.name.as_str());
            if let Some(value) = self.part(&path, &entry.value) {
                entries.insert(name(entry.name.as_str()), value);
            }
        }
        entries
    }

    fn part<T: DeserializeOwned>(&mut self, path: &str, value: &Value<'_>) -> Option<T> {
        let range = value.range();
        let part = &self.text[range.start..range.end];
        match parse_to_serde_value(part, &ParseOptions::default()) {
            Ok(part) => Some(part),
            Err(error) => {
                let start = range.start + error.range().start;
                let found = error.kind().to_string();
                self.fault(
                    path,
                    start,
                    &found,
                    "what docs/operators/configuration.md says",
                );
                None
            }
        }
    }

    /// Finds names that stand twice in one object; of these the later would win in silence.
    fn duplicates(&mut self, path: &str, value: &Value<'_>) {
        match value {
            Value::Object(object) => {
                let mut seen = BTreeSet::new();
                for prop in &object.properties {
                    let name = prop.name.as_str();
                    let path = if path.is_empty() {
                        name.to_owned()
                    } else {
                        format!("{path}.{name}")
                    };
                    if !seen.insert(name) {
                        let start = prop.range().start;
                        self.fault(
                            &path,
                            start,
                            "a second field of this name",
                            "each name once",
                        );
                    }
                    self.duplicates(&path, &prop.value);
                }
            }
            Value::Array(array) => {
                for (place, value) in array.elements.iter().enumerate() {
                    self.duplicates(&format!("{path}[{place}]"), value);
                }
            }
            _ => {}
        }
    }

    fn fault(&mut self, path: &str, start: usize, found: &str, allowed: &str) {
        let mut fault = Fault::new(path, found, allowed);
        fault.line = Some(line_at(self.text, start));
        self.faults.push(fault);
    }
}

fn syntax_fault(error: &ParseError) -> Fault {
    let mut fault = Fault::new("(file)", error.kind().to_string(), "JSON with comments");
    fault.line = Some(error.line_display());
    fault
}

fn line_at(text: &str, start: usize) -> usize {
    let before = text.get(..start).unwrap_or(text);
    before.split('\n').count()
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
