//! Answers of the administration API.

use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::configuration::Fault;
use crate::configuration::Outcome;
use siskinyoke_base::Code;

/// An answer: its code, which gives the HTTP status, and its JSON body.
#[derive(Debug, Clone, PartialEq)]
pub struct AdminAnswer {
    /// The result code.
    pub code: Code,
    fields: Map<String, Value>,
}

impl AdminAnswer {
    /// Makes an answer with nothing but its code.
    pub fn new(code: Code) -> Self {
        let mut fields = Map::new();
        fields.insert("code".to_owned(), code.number().into());
        fields.insert("kind".to_owned(), code.kind().as_str().into());
        fields.insert("text".to_owned(), code.text().into());
        Self { code, fields }
    }

    /// Makes the answer to a change, or to a question about one.
    pub fn outcome(id: &str, outcome: &Outcome) -> Self {
        let answer = Self::new(outcome.code()).with("change", &id);
        match outcome {
            Outcome::Accepted { revision } | Outcome::Conflict { revision } => {
                answer.with("revision", revision)
            }
            Outcome::Invalid { faults } => answer.faults(faults),
            Outcome::ServiceOlder { shown, highest } => {
                answer.with("shown", shown).with("highest", highest)
            }
            Outcome::Unknown { base } => answer.with("after", base),
            Outcome::Forbidden | Outcome::Reused | Outcome::Busy | Outcome::ServiceDown => answer,
        }
    }

    /// Adds faults.
    #[must_use]
    pub fn faults(self, faults: &[Fault]) -> Self {
        self.with("faults", &faults)
    }

    /// Adds a field.
    ///
    /// # Panics
    ///
    /// If the value cannot be written as JSON, which no document or number does.
    #[must_use]
    pub fn with<T: Serialize>(mut self, name: &str, value: &T) -> Self {
        let value = serde_json::to_value(value).expect("documents are plain JSON");
        self.fields.insert(name.to_owned(), value);
        self
    }

    /// Returns the body as JSON text.
    pub fn body(&self) -> String {
        let mut text = Value::Object(self.fields.clone()).to_string();
        text.push('\n');
        text
    }
}
