//! The reading of a configuration file: JSON with comments, every fault with its line.

use std::collections::BTreeMap;

use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Object;
use jsonc_parser::ast::ObjectProp;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::parse_to_serde_value;
use serde::de::DeserializeOwned;

use super::ConfigurationDoc;
use super::Fault;
use super::SourceFile;
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
    let allowed = "an object with the documents";
    let file = SourceFile::parse(text, allowed).map_err(|fault| vec![fault])?;
    let mut reader = Reader {
        faults: file.duplicates(),
        file: &file,
    };
    let doc = reader.document(file.root());
    let mut faults = reader.faults;
    if faults.is_empty() {
        faults = check(&doc);
        for fault in &mut faults {
            fault.line = Some(file.line_of(&fault.path));
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
    file: &'a SourceFile<'a>,
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
        let part = self.file.part(range.start, range.end);
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

    fn fault(&mut self, path: &str, start: usize, found: &str, allowed: &str) {
        let fault = self.file.fault(path, start, found, allowed);
        self.faults.push(fault);
    }
}
