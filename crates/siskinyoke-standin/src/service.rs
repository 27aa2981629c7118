//! A stand-in for a plain service whose responses contain a serial number of the execution.

use std::collections::BTreeMap;
use std::net::IpAddr;
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
use crate::announcements::Announcements;
use crate::error::StandinError;
use crate::http::Exchange;
use crate::http::Handler;
use crate::http::HttpServer;
use crate::proxy::Cut;
use crate::proxy::Proxy;
use siskinyoke_base::Millis;

/// The header with the ID of the request.
const REQUEST_ID_HEADER: &str = "X-Request-Id";

/// Configuration of a stand-in service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceConfig {
    /// Listen address of the service; port 0 for any free port.
    pub listen: String,
    /// Control address, which stays reachable while the service is down.
    pub control: String,
    /// Duration of a call, in milliseconds.
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

/// The body of `POST /control`; omitted fields keep their current values.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceControl {
    /// Closes and refuses connections for this many milliseconds; 0 ends the outage.
    pub down: Option<Millis>,
    /// Forwards no data for this many milliseconds while connections stay open; 0 ends the freeze.
    pub freeze: Option<Millis>,
    /// Duration of a call, in milliseconds.
    pub time: Option<Millis>,
    /// Whether each response says that the service is leaving.
    pub leaving: Option<bool>,
    /// Rejects all calls for this many milliseconds, and says so; 0 ends it.
    pub reject: Option<Millis>,
    /// Executes this many calls but closes their connections without a response.
    pub lose_answers: Option<u32>,
}

/// A running stand-in service, stopped on drop.
pub struct Service {
    server: HttpServer,
    shared: Arc<Shared>,
}

impl Service {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// [`StandinError::Listen`] if an address cannot be listened on.
    pub fn start(config: &ServiceConfig) -> Result<Self, StandinError> {
        let shared = Arc::new(Shared::default());
        shared.lock().service_time = config.time;
        let handler = Arc::clone(&shared) as Arc<dyn Handler>;
        let server = HttpServer::start(&config.listen, &config.control, handler)?;
        Ok(Self { server, shared })
    }

    /// Returns the listen address of the service.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the control address, which stays reachable while the service is down.
    pub fn control_address(&self) -> SocketAddr {
        self.server.control_address()
    }

    /// Applies a control command, as `POST /control` does.
    pub fn control(&self, command: &ServiceControl) {
        self.shared.control(self.server.proxy(), command);
    }

    /// Cuts off the connections from an IP address, or ends the cut.
    pub fn set_cut(&self, source: IpAddr, cut: Option<Cut>) {
        self.server.proxy().set_cut(source, cut);
    }

    /// Returns the number of executions by request ID.
    pub fn executions(&self) -> BTreeMap<String, u64> {
        self.shared.lock().executions.clone()
    }

    /// Stops the service and closes all connections.
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
    announcements: Announcements,
    serial: u64,
    executions: BTreeMap<String, u64>,
}

impl Handler for Shared {
    fn handle(&self, mut exchange: Exchange) {
        match (exchange.method().as_str(), exchange.path()) {
            ("POST", "/control") => exchange.control(|proxy, command| self.control(proxy, command)),
            ("GET", "/control/counts") => {
                let counts = self.lock().executions.clone();
                exchange.reply_json(200, &counts);
            }
            _ => {
                let Ok(body) = exchange.body() else {
                    return;
                };
                let announcements = self.lock().announcements;
                if let Some(exchange) = announcements.admit(exchange) {
                    self.execute(exchange, &body);
                }
            }
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn execute(&self, exchange: Exchange, body: &[u8]) {
        let request_id = exchange
            .header(REQUEST_ID_HEADER)
            .unwrap_or_default()
            .to_owned();
        let (serial, service_time, response_lost) = {
            let mut state = self.lock();
            state.serial += 1;
            *state.executions.entry(request_id.clone()).or_default() += 1;
            let response_lost = state.lost_responses > 0;
            state.lost_responses = state.lost_responses.saturating_sub(1);
            (state.serial, state.service_time, response_lost)
        };
        thread::sleep(service_time.into());
        if response_lost {
            return exchange.abort();
        }
        let echo = json!({
            "serial": serial,
            "request": request_id,
            "method": exchange.method(),
            "path": exchange.url(),
            "body": String::from_utf8_lossy(body),
        });
        exchange.reply_json(200, &echo);
    }

    fn control(&self, proxy: &Proxy, command: &ServiceControl) {
        let mut state = self.lock();
        state.service_time = command.time.unwrap_or(state.service_time);
        state.lost_responses = command.lose_answers.unwrap_or(state.lost_responses);
        state.announcements.apply(command.leaving, command.reject);
        drop(state);
        proxy.apply_faults(command.down, command.freeze);
    }
}
