//! A stand-in of a plain service, whose every execution bears a serial number.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;

use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::LOOPBACK_ANY_PORT;
use crate::error::StandinError;
use crate::http::Exchange;
use crate::http::Handler;
use crate::http::HttpServer;
use crate::proxy::Proxy;
use siskinyoke_base::Millis;

/// Names the request towards the service.
const REQUEST_ID_HEADER: &str = "X-Request-Id";

/// How a stand-in service is started.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceConfig {
    /// Address of the service; port 0 for any.
    pub listen: String,
    /// Address that stays reachable while the service is down.
    pub control: String,
    /// How long a call takes, in milliseconds.
    pub time: Millis,
}

impl Default for ServiceConfig {
    fn default() -> Self {
        Self {
            listen: LOOPBACK_ANY_PORT.to_owned(),
            control: LOOPBACK_ANY_PORT.to_owned(),
            time: Millis(2),
        }
    }
}

/// Orders to the stand-in service; what is left out stays as it is.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceControl {
    /// Cut and refuse connections for this many milliseconds, as a crash does; 0 ends it.
    pub down: Option<Millis>,
    /// Pass nothing on for this many milliseconds while connections stay open; 0 ends it.
    pub freeze: Option<Millis>,
    /// How long a call takes, in milliseconds.
    pub time: Option<Millis>,
    /// Execute this many calls without giving their answer.
    pub lose_answers: Option<u32>,
}

/// A running stand-in service; it stops when dropped.
pub struct Service {
    server: HttpServer,
    shared: Arc<Shared>,
}

impl Service {
    /// Starts it.
    ///
    /// # Errors
    ///
    /// [`StandinError::Listen`] if an address cannot be listened on.
    pub fn start(config: &ServiceConfig) -> Result<Self, StandinError> {
        let shared = Arc::new(Shared::default());
        shared.lock().service_time = config.time;
        let handler = Arc::clone(&shared) as Arc<dyn Handler>;
        let web = HttpServer::start(&config.listen, &config.control, handler)?;
        Ok(Self {
            server: web,
            shared,
        })
    }

    /// Returns the address of the service.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address that stays reachable while the service is down.
    pub fn control_address(&self) -> SocketAddr {
        self.server.control_address()
    }

    /// Carries out orders, as `POST /control` does.
    pub fn control(&self, orders: &ServiceControl) {
        self.shared.control(self.server.proxy(), orders);
    }

    /// Returns how often each request was executed.
    pub fn executions(&self) -> BTreeMap<String, u64> {
        self.shared.lock().executions.clone()
    }

    /// Stops it, cutting every connection.
    pub fn stop(self) {
        drop(self);
    }
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    service_time: Millis,
    lost_responses: u32,
    serial: u64,
    executions: BTreeMap<String, u64>,
}

impl Handler for Shared {
    fn handle(&self, mut exchange: Exchange) {
        match (exchange.method().as_str(), exchange.path()) {
            ("POST", "/control") => {
                exchange.handle_control(|gate, orders| self.control(gate, orders))
            }
            ("GET", "/control/counts") => {
                let counts = self.lock().executions.clone();
                exchange.reply_json(200, &counts);
            }
            _ => {
                let Ok(body) = exchange.body() else {
                    return;
                };
                self.execute(exchange, &body);
            }
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn execute(&self, exchange: Exchange, body: &[u8]) {
        let name = exchange
            .header(REQUEST_ID_HEADER)
            .unwrap_or_default()
            .to_owned();
        let (serial, time, lost) = {
            let mut state = self.lock();
            state.serial += 1;
            *state.executions.entry(name.clone()).or_default() += 1;
            let lost = state.lost_responses > 0;
            state.lost_responses = state.lost_responses.saturating_sub(1);
            (state.serial, state.service_time, lost)
        };
        thread::sleep(time.into());
        if lost {
            return exchange.abort();
        }
        let echo = json!({
            "serial": serial,
            "request": name,
            "method": exchange.method(),
            "path": exchange.url(),
            "body": String::from_utf8_lossy(body),
        });
        exchange.reply_json(200, &echo);
    }

    fn control(&self, gate: &Proxy, orders: &ServiceControl) {
        let mut state = self.lock();
        state.service_time = orders.time.unwrap_or(state.service_time);
        state.lost_responses = orders.lose_answers.unwrap_or(state.lost_responses);
        drop(state);
        gate.apply_faults(orders.down, orders.freeze);
    }
}
