//! Handles requests to the gateway and injects faults.

use std::collections::BTreeMap;
use std::io;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;

use super::control::EtcdControl;
use super::control::Faults;
use super::control::Lapse;
use super::gateway;
use super::gateway::CallError;
use super::store::KeyRange;
use super::store::Store;
use super::wire;
use crate::chunked::ChunkedResponse;
use crate::http::Exchange;
use crate::http::Handler;
use crate::proxy::Proxy;
use siskinyoke_base::Clock;
use siskinyoke_base::clock::SystemClock;

/// How often an idle watch checks for expired leases and for a closed connection.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// State shared by the threads of a stand-in.
pub(super) struct Shared {
    pub(super) clock: SystemClock,
    pub(super) state: Mutex<State>,
    pub(super) changed: Condvar,
}

#[derive(Default)]
pub(super) struct State {
    pub(super) store: Store,
    // The contents that the store comes back with.
    snapshot: Store,
    pub(super) faults: Faults,
    pub(super) call_counts: BTreeMap<String, u64>,
}

/// The result of a call.
enum Outcome {
    Response(u16, Value),
    /// The call took effect, but the connection is closed without a response.
    ResponseLost,
}

impl Handler for Shared {
    fn handle(&self, mut exchange: Exchange) {
        let path = exchange.path().to_owned();
        if path.starts_with("/control") {
            self.handle_control(exchange, &path);
            return;
        }
        let Some(kind) = call_kind(&path) else {
            exchange.reply_json(404, &json!({ "error": "not found", "code": 5 }));
            return;
        };
        let call_delay = {
            let mut state = self.lock();
            *state.call_counts.entry(kind.to_owned()).or_default() += 1;
            state.faults.call_delay
        };
        thread::sleep(call_delay.into());
        if kind == "watch" {
            self.watch(exchange);
            return;
        }
        match self.execute(kind, &mut exchange) {
            Outcome::Response(status, value) => exchange.reply_json(status, &value),
            Outcome::ResponseLost => exchange.abort(),
        }
    }
}

impl Shared {
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.store.expire_leases(self.clock.now());
        state
    }

    fn execute(&self, kind: &str, exchange: &mut Exchange) -> Outcome {
        let body = match exchange.body() {
            Ok(body) => body,
            Err(err) => return malformed_request(&err.to_string()),
        };
        let now = self.clock.now();
        let mut state = self.lock();
        let store = &mut state.store;
        let result = match kind {
            "range" => parse(&body).map(|request| Ok(gateway::range(store, &request))),
            "put" => parse(&body).map(|request| gateway::put(store, request)),
            "delete" => parse(&body).map(|request| Ok(gateway::delete(store, &request))),
            "txn" => parse(&body).map(|request| gateway::txn(store, request)),
            "grant" => parse(&body).map(|request| Ok(gateway::grant_lease(store, now, &request))),
            "keep" => parse(&body).map(|request| Ok(gateway::keep_alive(store, now, &request))),
            _ => parse(&body).map(|request| gateway::revoke_lease(store, &request)),
        };
        self.changed.notify_all();
        let value = match result {
            Ok(Ok(value)) => value,
            Ok(Err(err)) => return error_response(err),
            Err(detail) => return malformed_request(&detail),
        };
        if is_write(kind) && state.faults.lost_responses > 0 {
            state.faults.lost_responses -= 1;
            return Outcome::ResponseLost;
        }
        Outcome::Response(200, value)
    }

    /// Streams the changes of a range until the caller closes the connection.
    fn watch(&self, mut exchange: Exchange) {
        let request: wire::Watch = match exchange.json() {
            Ok(request) => request,
            Err(detail) => {
                exchange.reply_json(400, &json!({ "error": detail, "code": 3 }));
                return;
            }
        };
        let Ok(response) = exchange.start_chunked("application/json") else {
            return;
        };
        // An error means that the caller has closed the connection, which ends the watch.
        let _ = self.stream_events(response, request.create_request);
    }

    fn stream_events(
        &self,
        mut response: ChunkedResponse,
        request: wire::WatchCreate,
    ) -> io::Result<()> {
        let range = KeyRange {
            key: request.key,
            end: request.range_end,
        };
        let (mut next, compacted, header) = {
            let store = &self.lock().store;
            let next = match request.start_revision {
                0 => store.revision() + 1,
                start => start,
            };
            (
                next,
                store.compacted_revision(),
                wire::response_header(store.revision()),
            )
        };
        if next <= compacted {
            response.send(&gateway::watch_canceled(&header, compacted))?;
            return response.finish();
        }
        response.send(&gateway::watch_created(&header))?;
        while response.is_connected() {
            let state = self.lock();
            let events = state.store.events_since(&range, next);
            if events.is_empty() {
                let waited = self.changed.wait_timeout(state, WATCH_POLL_INTERVAL);
                drop(waited.unwrap_or_else(PoisonError::into_inner));
                continue;
            }
            next = state.store.revision() + 1;
            let line = gateway::watch_events(&state.store, &events);
            drop(state);
            response.send(&line)?;
        }
        Ok(())
    }

    fn handle_control(&self, exchange: Exchange, path: &str) {
        match (exchange.method().as_str(), path) {
            ("GET", "/control/counts") => {
                let counts = self.lock().call_counts.clone();
                exchange.reply_json(200, &counts);
            }
            ("POST", "/control") => exchange.control(|proxy, command| self.control(proxy, command)),
            _ => exchange.reply_error(404, "no such control"),
        }
    }

    pub(super) fn control(&self, proxy: &Proxy, command: &EtcdControl) {
        proxy.apply_faults(command.down, command.freeze);
        if command.cut {
            proxy.close_all_after_flush();
        }
        let mut state = self.lock();
        if let Some(delay) = command.slow {
            state.faults.call_delay = delay;
        }
        if let Some(count) = command.lose_answers {
            state.faults.lost_responses = count;
        }
        match command.lapse {
            Some(Lapse::All) => state.store.revoke_all_leases(),
            Some(Lapse::One(id)) => {
                state.store.revoke_lease(id);
            }
            None => {}
        }
        if command.snapshot {
            state.snapshot = state.store.clone();
        }
        if command.restore {
            state.store = state.snapshot.clone();
        }
        drop(state);
        self.changed.notify_all();
    }
}

fn call_kind(path: &str) -> Option<&'static str> {
    match path {
        "/v3/kv/range" => Some("range"),
        "/v3/kv/put" => Some("put"),
        "/v3/kv/txn" => Some("txn"),
        "/v3/kv/deleterange" => Some("delete"),
        "/v3/lease/grant" => Some("grant"),
        "/v3/lease/keepalive" => Some("keep"),
        "/v3/lease/revoke" => Some("revoke"),
        "/v3/watch" => Some("watch"),
        _ => None,
    }
}

fn is_write(kind: &str) -> bool {
    !matches!(kind, "range" | "watch")
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|err| err.to_string())
}

fn malformed_request(detail: &str) -> Outcome {
    Outcome::Response(
        400,
        json!({ "error": detail, "code": 3, "message": detail }),
    )
}

fn error_response(err: CallError) -> Outcome {
    Outcome::Response(err.status(), err.body())
}
