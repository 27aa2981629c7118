//! A stand-in for the platform's store: all calls of `PROTOCOL.md` that the program makes, answered
//! in order, with leases that end.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Message;
use crate::json::Json;
use crate::json::base64;
use crate::json::quoted;

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
    // Revision and JSON of each event.
    events: Vec<(u64, String, String)>,
    // How long each lease lasts, and when it ends.
    leases: BTreeMap<u64, (u64, Instant)>,
    lease_count: u64,
}

/// A store.
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
    /// If no port is free.
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let state = State {
            revision: 10,
            ..State::default()
        };
        let store = Store {
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            address: listener.local_addr().unwrap(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.end_leases(|until| until <= Instant::now());
            }
        });
        store
    }

    /// Writes a value as the operator and the servers do, and returns its revision; the return is
    /// the ack.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn put(&self, key: &str, value: &[u8]) -> u64 {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        state.put(key, &base64(value), 0);
        self.shared.1.notify_all();
        state.revision
    }

    /// Removes a key.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn remove(&self, key: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> Result<()> {
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = Message::read(&mut reader)? {
            let (status, body) = self.answer(&request);
            let length = body.len();
            let head = "Content-Type: application/json\r\nContent-Length";
            out.write_all(
                format!("HTTP/1.1 {status} -\r\n{head}: {length}\r\n\r\n{body}").as_bytes(),
            )?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|it| it.split_once('='))
            .collect();
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let of = |name: &str| query.get(name).copied().unwrap_or("");
        match path {
            "/api/kv-key" => self.key(of("Key")),
            "/api/kv-range" => (200, self.range(of("Prefix"), of("After"))),
            "/api/kv-watch" => {
                let number = |name| of(name).parse().unwrap_or(0);
                (
                    200,
                    self.watch(of("Prefix"), number("After"), number("WaitMs")),
                )
            }
            "/api/kv-txn" => self.change(&body),
            "/api/kv-lease" => {
                self.grant(body.get("TtlMs").and_then(Json::number).unwrap_or(1_000))
            }
            _ => {
                if let Some(lease) = path.strip_prefix("/api/kv-keep/") {
                    return self.renew(lease.parse().unwrap_or(0));
                }
                if let Some(lease) = path.strip_prefix("/api/kv-lease-end/") {
                    let lease: u64 = lease.parse().unwrap_or(0);
                    let mut state = self.shared.0.lock().unwrap();
                    state.end_lease(lease);
                    self.shared.1.notify_all();
                    return (200, "{}".to_owned());
                }
                (404, "{}".to_owned())
            }
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        match state.items.get(key) {
            Some(item) => {
                let at = state.revision;
                let text = item_json(key, item);
                (200, format!("{},\"At\":{at}}}", text.trim_end_matches('}')))
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.shared.0.lock().unwrap();
        let found = state.items.iter().filter(|row| row.0.starts_with(prefix));
        let found = found.filter(|row| row.0.as_str() > after);
        let items: Vec<_> = found.map(|row| item_json(row.0, row.1)).collect();
        let (items, at) = (items.join(","), state.revision);
        format!("{{\"Items\":[{items}],\"HasMore\":false,\"At\":{at}}}")
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> String {
        let (state, changed) = &*self.shared;
        let state = state.lock().unwrap();
        let is_due = |event: &(u64, String, String)| event.0 > after && event.1.starts_with(prefix);
        let limit = Duration::from_millis(wait_ms);
        let idle = |state: &mut State| !state.events.iter().any(is_due);
        let (state, _) = changed.wait_timeout_while(state, limit, idle).unwrap();
        let events = state.events.iter().filter(|it| is_due(it));
        let events: Vec<_> = events.map(|it| it.2.clone()).collect();
        format!(
            "{{\"events\":[{}],\"At\":{}}}",
            events.join(","),
            state.revision
        )
    }

    fn change(&self, body: &Json) -> (u16, String) {
        let rows = |name| body.get(name).map_or(&[][..], Json::items);
        let text = |row: &Json, name| row.get(name).and_then(Json::text).unwrap_or("").to_owned();
        let mut state = self.shared.0.lock().unwrap();
        let mut met = true;
        for row in rows("Expected") {
            let known = state
                .items
                .get(&text(row, "Key"))
                .map_or(0, |it| it.revision);
            met &= Some(known) == row.get("Revision").and_then(Json::number);
        }
        if !met {
            return (412, "{\"Items\":[]}".to_owned());
        }
        let lease_of = |row: &Json| row.get("Lease").and_then(Json::number).unwrap_or(0);
        let mut leases = rows("Puts").iter().map(lease_of);
        if leases.any(|it| it != 0 && !state.leases.contains_key(&it)) {
            return (404, "{}".to_owned());
        }
        state.revision += 1;
        for row in rows("Puts") {
            state.put(&text(row, "Key"), &text(row, "Value"), lease_of(row));
        }
        for key in rows("Remove").iter().filter_map(Json::text) {
            state.remove(key);
        }
        self.shared.1.notify_all();
        (200, format!("{{\"Revision\":{}}}", state.revision))
    }

    fn grant(&self, ttl_ms: u64) -> (u16, String) {
        let mut state = self.shared.0.lock().unwrap();
        state.lease_count += 1;
        let lease = state.lease_count;
        let until = Instant::now() + Duration::from_millis(ttl_ms);
        state.leases.insert(lease, (ttl_ms, until));
        (200, format!("{{\"Lease\":{lease},\"TtlMs\":{ttl_ms}}}"))
    }

    fn renew(&self, lease: u64) -> (u16, String) {
        let mut state = self.shared.0.lock().unwrap();
        let Some((ttl_ms, until)) = state.leases.get_mut(&lease) else {
            return (404, "{}".to_owned());
        };
        *until = Instant::now() + Duration::from_millis(*ttl_ms);
        (200, format!("{{\"TtlMs\":{ttl_ms}}}"))
    }

    fn end_leases(&self, is_over: impl Fn(Instant) -> bool) {
        let mut state = self.shared.0.lock().unwrap();
        let ended = state.leases.iter().filter(|row| is_over(row.1.1));
        let ended: Vec<u64> = ended.map(|row| *row.0).collect();
        for lease in ended {
            state.end_lease(lease);
            self.shared.1.notify_all();
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |it| it.created);
        let item = Item {
            value: value.to_owned(),
            revision,
            created,
            lease,
        };
        self.events
            .push((revision, key.to_owned(), item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        let revision = self.revision;
        let text = quoted(key);
        let event = format!("{{\"Key\":{text},\"Revision\":{revision},\"Deleted\":true}}");
        self.events.push((revision, key.to_owned(), event));
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|row| row.1.lease == lease);
        let held: Vec<String> = held.map(|row| row.0.clone()).collect();
        for key in held {
            self.revision += 1;
            self.remove(&key);
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item {
        value,
        revision,
        created,
        lease,
    } = item;
    let key = quoted(key);
    format!(
        "{{\"Key\":{key},\"Value\":\"{value}\",\"Revision\":{revision},\"Created\":{created},\"Lease\":{lease}}}"
    )
}
