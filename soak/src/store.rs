//! A small stand-in of the platform's store, in memory.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use serde_json::json;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

/// What the store does to the calls that reach it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// It serves them.
    Available,
    /// It answers 503 to all.
    Unavailable,
    /// It takes calls and never answers them.
    Unresponsive,
}

#[derive(Debug)]
struct State {
    items: BTreeMap<String, (u64, String)>,
    changes: Vec<Value>,
    revision: u64,
    availability: Availability,
    // Changes up to this revision are forgotten.
    compacted: u64,
    // States of rollouts as they were written, each with the revision of the order that stood.
    rollout_states: Vec<(u64, String)>,
}

/// A small stand-in of the platform's store, in memory.
#[derive(Debug, Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Store {
    /// Starts an empty store.
    ///
    /// # Panics
    ///
    /// If one of its threads panicked before.
    pub fn start() -> Self {
        let server = Arc::new(Server::http("127.0.0.1:0").unwrap());
        let address = server.server_addr().to_ip().unwrap();
        let state = State {
            items: BTreeMap::new(),
            changes: Vec::new(),
            revision: 10,
            availability: Availability::Available,
            compacted: 0,
            rollout_states: Vec::new(),
        };
        let store = Self {
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            address,
        };
        let serving = store.clone();
        thread::spawn(move || {
            for request in server.incoming_requests() {
                let store = serving.clone();
                thread::spawn(move || store.serve(request));
            }
        });
        store
    }

    /// Writes a value, as operators and endpoints do.
    ///
    /// # Panics
    ///
    /// If one of its threads panicked before.
    pub fn put(&self, key: &str, value: &str) {
        let value = STANDARD.encode(value);
        let (state, changed) = &*self.shared;
        state.lock().unwrap().put(key, &value);
        changed.notify_all();
    }

    /// Removes a key.
    ///
    /// # Panics
    ///
    /// If one of its threads panicked before.
    pub fn remove(&self, key: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        state
            .changes
            .push(json!({ "Key": key, "Revision": revision, "Deleted": true }));
        changed.notify_all();
    }

    /// Sets what it does to calls from now on.
    ///
    /// # Panics
    ///
    /// If one of its threads panicked before.
    pub fn set_availability(&self, mood: Availability) {
        let (state, changed) = &*self.shared;
        state.lock().unwrap().availability = mood;
        changed.notify_all();
    }

    /// Forgets all changes so far.
    ///
    /// # Panics
    ///
    /// If one of its threads panicked before.
    pub fn compact(&self) {
        let mut state = self.shared.0.lock().unwrap();
        state.compacted = state.revision;
        self.shared.1.notify_all();
    }

    /// Returns a value.
    ///
    /// # Panics
    ///
    /// If one of its threads panicked before.
    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.shared.0.lock().unwrap();
        let value = STANDARD.decode(&state.items.get(key)?.1).unwrap();
        Some(String::from_utf8(value).unwrap())
    }

    /// Returns the states of rollouts as they were written, each with the revision of the order that stood, 0 for none.
    ///
    /// # Panics
    ///
    /// If one of its threads panicked before.
    pub fn rollout_states(&self) -> Vec<(u64, String)> {
        self.shared.0.lock().unwrap().rollout_states.clone()
    }

    /// Returns the keys under a prefix.
    ///
    /// # Panics
    ///
    /// If one of its threads panicked before.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.shared.0.lock().unwrap();
        state
            .items
            .keys()
            .filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    fn serve(&self, mut request: Request) {
        let (path, query) = split_url(request.url());
        let mut body = String::new();
        request.as_reader().read_to_string(&mut body).unwrap();
        if self.availability() == Availability::Unresponsive {
            // A request that is dropped would be answered; without its writer nothing is.
            drop(request.into_writer());
            return;
        }
        let (status, answer) = if self.availability() == Availability::Unavailable {
            (503, json!({}))
        } else {
            self.handle_call(&path, &query, &body)
        };
        let response = Response::from_string(answer.to_string()).with_status_code(status);
        // A caller that is gone needs no answer.
        drop(request.respond(response));
    }

    fn handle_call(
        &self,
        path: &str,
        query: &BTreeMap<String, String>,
        body: &str,
    ) -> (u16, Value) {
        match path {
            "/api/kv-range" => (200, self.range(&query["Prefix"])),
            "/api/kv-watch" => self.watch(query),
            "/api/kv-lease" => (200, json!({ "Lease": 7, "TtlMs": 6000 })),
            "/api/kv-txn" => self.conditional_put(body),
            path if path.starts_with("/api/kv-keep/") => (200, json!({ "TtlMs": 6000 })),
            _ => (404, json!({})),
        }
    }

    fn range(&self, prefix: &str) -> Value {
        let state = self.shared.0.lock().unwrap();
        let items: Vec<_> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, (revision, value))| item_json(key, *revision, value))
            .collect();
        json!({ "Items": items, "HasMore": false, "At": state.revision })
    }

    fn watch(&self, query: &BTreeMap<String, String>) -> (u16, Value) {
        let after: u64 = query["After"].parse().unwrap();
        let wait: u64 = query["WaitMs"].parse().unwrap();
        let (state, changed) = &*self.shared;
        let state = state.lock().unwrap();
        let quiet = |state: &mut State| {
            state.revision <= after
                && state.availability == Availability::Available
                && state.compacted <= after
        };
        let (state, _) = changed
            .wait_timeout_while(state, Duration::from_millis(wait), quiet)
            .unwrap();
        if state.availability == Availability::Unavailable {
            return (503, json!({}));
        }
        if state.compacted > after {
            return (410, json!({}));
        }
        let later = |it: &&Value| it["Revision"].as_u64().unwrap() > after;
        let events: Vec<_> = state.changes.iter().filter(later).cloned().collect();
        (200, json!({ "events": events, "At": state.revision }))
    }

    fn conditional_put(&self, body: &str) -> (u16, Value) {
        let body: Value = serde_json::from_str(body).unwrap();
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let held = body["Expected"].as_array().unwrap().iter().all(|row| {
            let known = state.items.get(row["Key"].as_str().unwrap());
            known.map_or(0, |it| it.0) == row["Revision"].as_u64().unwrap()
        });
        if !held {
            return (412, json!({ "Items": [] }));
        }
        for put in body["Puts"].as_array().unwrap() {
            state.put(put["Key"].as_str().unwrap(), put["Value"].as_str().unwrap());
        }
        changed.notify_all();
        (200, json!({ "Revision": state.revision }))
    }

    fn availability(&self) -> Availability {
        self.shared.0.lock().unwrap().availability
    }
}

impl State {
    fn put(&mut self, key: &str, value: &str) {
        self.revision += 1;
        if let Some(service) = key.strip_prefix("status/rollout/") {
            let order = self.items.get(&format!("op/rollout/{service}"));
            let text = STANDARD.decode(value).unwrap();
            let text = String::from_utf8(text).unwrap();
            self.rollout_states.push((order.map_or(0, |it| it.0), text));
        }
        self.items
            .insert(key.to_owned(), (self.revision, value.to_owned()));
        self.changes.push(item_json(key, self.revision, value));
    }
}

fn item_json(key: &str, revision: u64, value: &str) -> Value {
    json!({ "Key": key, "Value": value, "Revision": revision, "Created": revision, "Lease": 0 })
}

fn split_url(url: &str) -> (String, BTreeMap<String, String>) {
    let (path, query) = url.split_once('?').unwrap_or((url, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    (
        path.to_owned(),
        pairs
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect(),
    )
}
