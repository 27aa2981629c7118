//! A stand-in for the platform's store.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Result;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::json::Json;
use crate::json::base64;

/// The maximum number of items in a page.
const PAGE_ITEMS: usize = 500;

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    // The rows of all changes, by revision and key.
    changes: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

/// A stand-in for the platform's store.
#[derive(Debug, Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    /// The address that it listens on.
    pub address: SocketAddr,
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            shared: Arc::default(),
            address: listener.local_addr()?,
        };
        store.lock().revision = 10;
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.expire();
            }
        });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a value, as the operator and the servers do.
    pub fn put(&self, key: &str, value: &str) {
        let value = base64(value.as_bytes());
        self.lock().put(key, value, 0);
        self.shared.1.notify_all();
    }

    /// Removes a key, if it exists.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        if state.items.contains_key(key) {
            state.revision += 1;
            state.remove(key);
        }
        self.shared.1.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("no thread panics")
    }

    fn expire(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended = state.leases.iter().filter(|it| it.1.1 <= now);
        let ended: Vec<u64> = ended.map(|it| *it.0).collect();
        for lease in ended {
            state.end_lease(lease);
            self.shared.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) -> Result<()> {
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader)? {
            let (status, body) = self.handle(&request);
            let headers = "content-type: application/json\r\n";
            http::respond(&mut out, status, headers, body.as_bytes())?;
        }
        Ok(())
    }

    fn handle(&self, request: &Message) -> (&'static str, String) {
        let target = request.second_word();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|it| it.split_once('='))
            .map(|(name, value)| (name, percent_decoded(value)))
            .collect();
        let body = String::from_utf8_lossy(&request.body);
        match path {
            "/api/kv-range" => ("200 OK", self.lock().range(&query)),
            "/api/kv-watch" => ("200 OK", self.watch(&query)),
            "/api/kv-txn" => self.transact(&body),
            "/api/kv-lease" => ("200 OK", self.lock().grant(&body)),
            _ => self.handle_lease(path),
        }
    }

    fn handle_lease(&self, path: &str) -> (&'static str, String) {
        let mut state = self.lock();
        let id = path.rsplit('/').next().and_then(|it| it.parse().ok());
        let found = id.and_then(|it: u64| Some((it, *state.leases.get(&it)?)));
        let Some((id, (ttl, _))) = found else {
            return ("404 Not Found", "{}".to_owned());
        };
        if path.starts_with("/api/kv-keep/") {
            state.leases.insert(id, (ttl, Instant::now() + ttl));
        } else {
            state.end_lease(id);
            self.shared.1.notify_all();
        }
        ("200 OK", "{}".to_owned())
    }

    // Waits for changes after a revision.
    fn watch(&self, query: &BTreeMap<&str, String>) -> String {
        let prefix = query.get("Prefix").map_or("", |it| it);
        let number = |name: &str| query.get(name).and_then(|it| it.parse::<u64>().ok());
        let after = number("After").unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or(0));
        let mut state = self.lock();
        loop {
            let changes = state.changes.iter();
            let later = changes.filter(|it| it.0 > after && it.1.starts_with(prefix));
            let rows: Vec<&str> = later.map(|it| &*it.2).collect();
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !rows.is_empty() || remaining.is_zero() {
                let rows = rows.join(",");
                return format!(r#"{{"events":[{rows}],"At":{}}}"#, state.revision);
            }
            let waited = self.shared.1.wait_timeout(state, remaining);
            state = waited.expect("no thread panics").0;
        }
    }

    // Applies a call that writes all or nothing.
    fn transact(&self, body: &str) -> (&'static str, String) {
        let call = Json::parse(body).unwrap_or(Json::List(Vec::new()));
        let rows = |name: &str| call.field(name).map_or(&[][..], Json::items).to_vec();
        let text = |row: &Json, name: &str| row.field(name).map_or("", Json::text).to_owned();
        let number = |row: &Json, name: &str| row.field(name).map_or(0, Json::number);
        let mut state = self.lock();
        for row in rows("Expected") {
            let known = state
                .items
                .get(&text(&row, "Key"))
                .map_or(0, |it| it.revision);
            if known != number(&row, "Revision") {
                return ("412 Precondition Failed", r#"{"Items":[]}"#.to_owned());
            }
        }
        let leases: Vec<u64> = rows("Puts").iter().map(|it| number(it, "Lease")).collect();
        if leases
            .iter()
            .any(|it| *it != 0 && !state.leases.contains_key(it))
        {
            return ("404 Not Found", "{}".to_owned());
        }
        for row in rows("Puts") {
            let lease = number(&row, "Lease");
            state.put(&text(&row, "Key"), text(&row, "Value"), lease);
        }
        for key in rows("Remove") {
            state.revision += 1;
            state.remove(key.text());
        }
        self.shared.1.notify_all();
        ("200 OK", format!(r#"{{"Revision":{}}}"#, state.revision))
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |it| it.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        let row = row(key, &item);
        self.changes.push((revision, key.to_owned(), row));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        self.items.remove(key);
        let revision = self.revision;
        let row = format!(r#"{{"Key":"{key}","Revision":{revision},"Deleted":true}}"#);
        self.changes.push((revision, key.to_owned(), row));
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|it| it.1.lease == lease);
        let keys: Vec<String> = held.map(|it| it.0.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.remove(&key);
        }
    }

    fn grant(&mut self, body: &str) -> String {
        let call = Json::parse(body);
        let ttl = call.as_ref().and_then(|it| it.field("TtlMs"));
        let ttl = Duration::from_millis(ttl.map_or(1_000, Json::number).max(1_000));
        self.last_lease += 1;
        let lease = self.last_lease;
        self.leases.insert(lease, (ttl, Instant::now() + ttl));
        format!(r#"{{"Lease":{lease},"TtlMs":{}}}"#, ttl.as_millis())
    }

    fn range(&self, query: &BTreeMap<&str, String>) -> String {
        let prefix = query.get("Prefix").map_or("", |it| it);
        let after = query.get("After").map_or("", |it| it);
        let items = self.items.iter();
        let items = items.filter(|it| it.0.starts_with(prefix) && it.0.as_str() > after);
        let mut rows: Vec<String> = items.map(|it| row(it.0, it.1)).collect();
        let more = rows.len() > PAGE_ITEMS;
        rows.truncate(PAGE_ITEMS);
        let rows = rows.join(",");
        format!(
            r#"{{"Items":[{rows}],"HasMore":{more},"At":{}}}"#,
            self.revision
        )
    }
}

fn row(key: &str, item: &Item) -> String {
    let Item {
        value,
        revision,
        created,
        lease,
    } = item;
    format!(
        r#"{{"Key":"{key}","Value":"{value}","Revision":{revision},"Created":{created},"Lease":{lease}}}"#
    )
}

fn percent_decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let digits = tail.get(..2).and_then(|it| std::str::from_utf8(it).ok());
        let decoded = digits.and_then(|it| u8::from_str_radix(it, 16).ok());
        if let (b'%', Some(byte)) = (first, decoded) {
            bytes.push(byte);
            rest = &tail[2..];
        } else {
            bytes.push(*first);
            rest = tail;
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
