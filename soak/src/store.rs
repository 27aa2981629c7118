//! An in-memory stand-in for the platform's store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use percent_encoding::percent_decode_str;
use serde_json::Value;
use serde_json::json;
use tiny_http::Header;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

/// The path of calls that write.
const WRITE_PATH: &str = "/api/kv-txn";

/// How the store responds to calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// Serves all calls.
    Available,
    /// Responds to all calls with status 503.
    Unavailable,
    /// Accepts calls but never responds.
    Unresponsive,
    /// Serves writes and never responds to other calls.
    WritesOnly,
}

/// A rollout status as it was written.
#[derive(Debug, Clone)]
pub struct RolloutStatus {
    /// How often the store had come back from a copy.
    pub era: u64,
    /// The revision of the order, or 0 if there was none.
    pub order: u64,
    /// The document.
    pub text: String,
}

/// The contents of a store at some time.
#[derive(Debug, Clone)]
pub struct Copy {
    // The revision and the Base64-encoded value of each key.
    items: BTreeMap<String, (u64, String)>,
    // Rows that stand for items as they are, by key.
    odd_rows: BTreeMap<String, Value>,
    changes: Vec<Change>,
    revision: u64,
    leases: BTreeSet<u64>,
}

impl Copy {
    /// Removes the keys with a prefix, as if they had been written later.
    pub fn remove_prefix(&mut self, prefix: &str) {
        self.items.retain(|key, _| !key.starts_with(prefix));
    }
}

#[derive(Debug, Clone)]
struct Change {
    key: String,
    revision: u64,
    row: Value,
}

#[derive(Debug)]
struct State {
    contents: Copy,
    // The maximum number of items in a page.
    page_size: usize,
    // The value of the header that names the history, which each return from a copy raises.
    era: String,
    era_count: u64,
    lease_count: u64,
    availability: Availability,
    // Changes up to this revision are no longer available to watch calls.
    compacted_revision: u64,
    rollout_statuses: Vec<RolloutStatus>,
}

/// An in-memory stand-in for the platform's store.
#[derive(Debug, Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    /// The address that it listens on.
    pub address: SocketAddr,
}

impl Store {
    /// Starts an empty store.
    ///
    /// # Panics
    ///
    /// If no port is free.
    pub fn start() -> Self {
        let server = Arc::new(Server::http("127.0.0.1:0").unwrap());
        let address = server.server_addr().to_ip().unwrap();
        let state = State {
            contents: Copy {
                items: BTreeMap::new(),
                odd_rows: BTreeMap::new(),
                changes: Vec::new(),
                revision: 10,
                leases: BTreeSet::new(),
            },
            page_size: usize::MAX,
            era: "1".to_owned(),
            era_count: 1,
            lease_count: 0,
            availability: Availability::Available,
            compacted_revision: 0,
            rollout_statuses: Vec::new(),
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
    /// If one of its threads has panicked.
    pub fn put(&self, key: &str, value: &str) {
        let value = STANDARD.encode(value);
        let (state, changed) = &*self.shared;
        state.lock().unwrap().put(key, &value);
        changed.notify_all();
    }

    /// Writes an item that pages and watches give as this row, which may be malformed.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn put_row(&self, key: &str, row: Value) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.put(key, "");
        let change = state.contents.changes.last_mut().unwrap();
        change.row = row.clone();
        state.contents.odd_rows.insert(key.to_owned(), row);
        changed.notify_all();
    }

    /// Removes a key.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn remove(&self, key: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.contents.revision += 1;
        let revision = state.contents.revision;
        state.contents.items.remove(key);
        state.contents.odd_rows.remove(key);
        state.contents.changes.push(Change {
            key: key.to_owned(),
            revision,
            row: json!({ "Key": key, "Revision": revision, "Deleted": true }),
        });
        changed.notify_all();
    }

    /// Sets the maximum number of items in a page.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn set_page_size(&self, items: usize) {
        self.shared.0.lock().unwrap().page_size = items;
    }

    /// Sets how it responds to calls from now on.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn set_availability(&self, availability: Availability) {
        let (state, changed) = &*self.shared;
        state.lock().unwrap().availability = availability;
        changed.notify_all();
    }

    /// Compacts the history: watch calls from an earlier revision fail.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn compact(&self) {
        let mut state = self.shared.0.lock().unwrap();
        state.compacted_revision = state.contents.revision;
        self.shared.1.notify_all();
    }

    /// Returns a copy of its contents.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn copy(&self) -> Copy {
        self.shared.0.lock().unwrap().contents.clone()
    }

    /// Replaces its contents by an earlier copy, as after a loss: revisions go back and are given
    /// out again, and leases granted since are unknown.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn restore(&self, copy: Copy) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.contents = copy;
        state.compacted_revision = state.compacted_revision.min(state.contents.revision);
        state.era_count += 1;
        state.era = state.era_count.to_string();
        changed.notify_all();
    }

    /// Sets the value of the header that names the history until the next return from a copy.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn set_era(&self, text: &str) {
        text.clone_into(&mut self.shared.0.lock().unwrap().era);
    }

    /// Returns the value of a key, if it exists.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.shared.0.lock().unwrap();
        let value = STANDARD.decode(&state.contents.items.get(key)?.1).unwrap();
        Some(String::from_utf8(value).unwrap())
    }

    /// Returns all rollout statuses written.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn rollout_statuses(&self) -> Vec<RolloutStatus> {
        self.shared.0.lock().unwrap().rollout_statuses.clone()
    }

    /// Returns the keys with a prefix.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.shared.0.lock().unwrap();
        state
            .contents
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
        let responds = match self.availability() {
            Availability::Unresponsive => false,
            Availability::WritesOnly => path == WRITE_PATH,
            Availability::Available | Availability::Unavailable => true,
        };
        if !responds {
            // `tiny_http` responds to a dropped request unless its writer has been taken.
            drop(request.into_writer());
            return;
        }
        let (status, content) = if self.availability() == Availability::Unavailable {
            (503, json!({}))
        } else {
            self.handle_call(&path, &query, &body)
        };
        let response = Response::from_string(content.to_string()).with_status_code(status);
        let era = self.shared.0.lock().unwrap().era.clone();
        let response = match Header::from_bytes("Store-Era", era) {
            Ok(header) => response.with_header(header),
            Err(()) => response,
        };
        // The caller may have disconnected.
        drop(request.respond(response));
    }

    fn handle_call(
        &self,
        path: &str,
        query: &BTreeMap<String, String>,
        body: &str,
    ) -> (u16, Value) {
        match path {
            "/api/kv-range" => (200, self.range(query)),
            "/api/kv-watch" => self.watch(query),
            "/api/kv-lease" => (200, json!({ "Lease": self.grant_lease(), "TtlMs": 6000 })),
            WRITE_PATH => self.conditional_put(body),
            path if path.starts_with("/api/kv-keep/") => self.renew_lease(path),
            _ => (404, json!({})),
        }
    }

    fn grant_lease(&self) -> u64 {
        let mut state = self.shared.0.lock().unwrap();
        state.lease_count += 1;
        let lease = state.lease_count;
        state.contents.leases.insert(lease);
        lease
    }

    fn renew_lease(&self, path: &str) -> (u16, Value) {
        let lease = path.trim_start_matches("/api/kv-keep/").parse().unwrap();
        if self
            .shared
            .0
            .lock()
            .unwrap()
            .contents
            .leases
            .contains(&lease)
        {
            (200, json!({ "TtlMs": 6000 }))
        } else {
            (404, json!({}))
        }
    }

    // Returns a page of the items whose keys have a prefix, after a key.
    fn range(&self, query: &BTreeMap<String, String>) -> Value {
        let state = self.shared.0.lock().unwrap();
        let prefix = &query["Prefix"];
        let after = query.get("After").map_or("", String::as_str);
        let contents = &state.contents;
        let rows = contents.items.iter().filter(|(key, _)| {
            key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
        });
        let mut rows = rows.map(|(key, (revision, value))| {
            let odd = contents.odd_rows.get(key).cloned();
            odd.unwrap_or_else(|| item_json(key, *revision, value))
        });
        let items: Vec<_> = rows.by_ref().take(state.page_size).collect();
        let has_more = rows.next().is_some();
        json!({ "Items": items, "HasMore": has_more, "At": contents.revision })
    }

    // Waits for changes after a revision, and returns them.
    fn watch(&self, query: &BTreeMap<String, String>) -> (u16, Value) {
        let after: u64 = query["After"].parse().unwrap();
        let wait_ms: u64 = query["WaitMs"].parse().unwrap();
        let (state, changed) = &*self.shared;
        let state = state.lock().unwrap();
        let is_idle = |state: &mut State| {
            state.contents.revision == after
                && state.availability == Availability::Available
                && state.compacted_revision <= after
        };
        let (state, _) = changed
            .wait_timeout_while(state, Duration::from_millis(wait_ms), is_idle)
            .unwrap();
        if state.availability == Availability::Unavailable {
            return (503, json!({}));
        }
        if state.compacted_revision > after || state.contents.revision < after {
            return (410, json!({}));
        }
        let is_newer = |change: &&Change| change.revision > after;
        let prefix = &query["Prefix"];
        let is_under = |change: &&Change| change.key.starts_with(prefix);
        let history = state.contents.changes.iter();
        let events = history.filter(is_newer).filter(is_under);
        let events: Vec<_> = events.map(|change| &change.row).collect();
        (
            200,
            json!({ "events": events, "At": state.contents.revision }),
        )
    }

    // Writes values if each expected key still has the expected revision, which is 0 if it does not
    // exist.
    fn conditional_put(&self, body: &str) -> (u16, Value) {
        let body: Value = serde_json::from_str(body).unwrap();
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let unmodified = body["Expected"].as_array().unwrap().iter().all(|expected| {
            let item = state.contents.items.get(expected["Key"].as_str().unwrap());
            item.map_or(0, |item| item.0) == expected["Revision"].as_u64().unwrap()
        });
        if !unmodified {
            return (412, json!({ "Items": [] }));
        }
        for put in body["Puts"].as_array().unwrap() {
            state.put(put["Key"].as_str().unwrap(), put["Value"].as_str().unwrap());
        }
        changed.notify_all();
        (200, json!({ "Revision": state.contents.revision }))
    }

    fn availability(&self) -> Availability {
        self.shared.0.lock().unwrap().availability
    }
}

impl State {
    fn put(&mut self, key: &str, value: &str) {
        self.contents.revision += 1;
        let revision = self.contents.revision;
        if let Some(service) = key.strip_prefix("status/rollout/") {
            let order = self.contents.items.get(&format!("op/rollout/{service}"));
            let text = STANDARD.decode(value).unwrap();
            let text = String::from_utf8(text).unwrap();
            self.rollout_statuses.push(RolloutStatus {
                era: self.era_count,
                order: order.map_or(0, |order| order.0),
                text,
            });
        }
        self.contents
            .items
            .insert(key.to_owned(), (revision, value.to_owned()));
        self.contents.odd_rows.remove(key);
        self.contents.changes.push(Change {
            key: key.to_owned(),
            revision,
            row: item_json(key, revision, value),
        });
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
            .map(|(name, value)| {
                let value = percent_decode_str(value).decode_utf8_lossy();
                (name.to_owned(), value.into_owned())
            })
            .collect(),
    )
}
