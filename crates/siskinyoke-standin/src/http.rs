//! The HTTP server that every stand-in runs on.

use std::io;
use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use tiny_http::Header;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

use crate::chunked::ChunkedResponse;
use crate::error::StandinError;
use crate::proxy::Proxy;
use crate::proxy::listen;
use siskinyoke_base::Millis;

/// Most bytes of a body that are read; the largest value of the platform fits coded.
const MAX_BODY_BYTES: u64 = 8 * 1024 * 1024;

/// How often the serving thread looks whether it is to stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Answers exchanges, each on a thread of its own.
pub trait Handler: Send + Sync + 'static {
    /// Answers one exchange.
    fn handle(&self, exchange: Exchange);
}

/// A running server with its gate.
pub struct HttpServer {
    proxy: Arc<Proxy>,
    control_address: SocketAddr,
}

impl HttpServer {
    /// Starts a server behind a gate at an address; `control` is reachable also while the gate is shut.
    ///
    /// # Errors
    ///
    /// [`StandinError::Listen`] if one of the addresses cannot be listened on.
    pub fn start(
        address: &str,
        control: &str,
        handler: Arc<dyn Handler>,
    ) -> Result<Self, StandinError> {
        let inner = listen(control).map_err(|err| listen_error(control, &err))?;
        let seen = inner
            .local_addr()
            .map_err(|err| listen_error(control, &err))?;
        let server = new_server(control, inner)?;
        let gate = Proxy::open(address, seen).map_err(|err| listen_error(address, &err))?;
        let own = Arc::clone(&gate);
        thread::spawn(move || mark_handled(&server, &own, &handler));
        Ok(Self {
            proxy: gate,
            control_address: seen,
        })
    }

    /// Returns the address that others know.
    pub fn address(&self) -> SocketAddr {
        self.proxy.address()
    }

    /// Returns the address that is reachable also while the gate is shut.
    pub fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// Returns the gate.
    pub fn proxy(&self) -> &Proxy {
        &self.proxy
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.proxy.stop();
    }
}

/// One request that waits for its answer.
pub struct Exchange {
    request: Request,
    proxy: Arc<Proxy>,
    peer: Option<SocketAddr>,
}

impl Exchange {
    /// Returns the method in capitals.
    pub fn method(&self) -> String {
        self.request.method().to_string()
    }

    /// Returns path and query.
    pub fn url(&self) -> &str {
        self.request.url()
    }

    /// Returns the path without its query.
    pub fn path(&self) -> &str {
        self.url().split('?').next().unwrap_or_default()
    }

    /// Returns a header's value; its name may be written in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.request.headers().iter();
        let found =
            headers.find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name));
        found.map(|header| header.value.as_str())
    }

    /// Says whether the caller still holds the connection.
    pub fn is_connected(&self) -> bool {
        self.peer.is_none_or(|link| self.proxy.is_open(link))
    }

    /// Reads the body.
    ///
    /// # Errors
    ///
    /// What the system says if the caller broke off.
    pub fn body(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        let reader = self.request.as_reader();
        reader.take(MAX_BODY_BYTES).read_to_end(&mut body)?;
        Ok(body)
    }

    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// A sentence for the caller.
    pub fn json<T: DeserializeOwned>(&mut self) -> Result<T, String> {
        let body = self.body().map_err(|err| err.to_string())?;
        serde_json::from_slice(&body).map_err(|err| err.to_string())
    }

    /// Answers with JSON.
    pub fn reply_json(self, status: u16, value: &impl Serialize) {
        let text = serde_json::to_string(value).unwrap_or_default();
        self.reply(status, "application/json", &text);
    }

    /// Answers with an error in the form that OpenAI-style clients show.
    pub fn reply_error(self, status: u16, text: &str) {
        self.reply_json(
            status,
            &json!({ "error": { "message": text, "code": status } }),
        );
    }

    /// Answers an order and carries it out, in this sequence: the order may shut the gate.
    pub fn handle_control<T: DeserializeOwned>(mut self, apply: impl FnOnce(&Proxy, &T)) {
        match self.json() {
            Ok(orders) => {
                let gate = Arc::clone(&self.proxy);
                self.reply_json(200, &json!({}));
                apply(&gate, &orders);
            }
            Err(detail) => self.reply_error(400, &detail),
        }
    }

    /// Cuts every connection and refuses new ones for a span, as a crash does.
    pub fn crash(self, span: Millis) {
        self.proxy.take_down(span);
    }

    /// Answers with a text.
    pub fn reply(self, status: u16, content: &str, text: &str) {
        let mut response = Response::from_string(text).with_status_code(status);
        if let Ok(header) = Header::from_bytes("Content-Type", content) {
            response = response.with_header(header);
        }
        // A caller that went away is no fault of the stand-in.
        let _ = self.request.respond(response);
    }

    /// Starts an answer in pieces.
    ///
    /// # Errors
    ///
    /// What the system says if the caller broke off.
    pub fn start_chunked(self, content: &str) -> io::Result<ChunkedResponse> {
        ChunkedResponse::start(self.request.into_writer(), self.proxy, self.peer, content)
    }

    /// Cuts the connection without an answer.
    pub fn abort(self) {
        if let Some(link) = self.peer {
            self.proxy.close_after_flush(link);
        }
    }
}

fn new_server(address: &str, listener: TcpListener) -> Result<Server, StandinError> {
    Server::from_listener(listener, None)
        .map_err(|err| StandinError::Listen(address.to_owned(), err.to_string()))
}

fn mark_handled(server: &Server, proxy: &Arc<Proxy>, handler: &Arc<dyn Handler>) {
    while !proxy.is_stopped() {
        let Ok(Some(request)) = server.recv_timeout(STOP_POLL_INTERVAL) else {
            continue;
        };
        let link = request.remote_addr().copied();
        let link = link.filter(|seen| proxy.mark_handled(*seen));
        let exchange = Exchange {
            request,
            proxy: Arc::clone(proxy),
            peer: link,
        };
        let handler = Arc::clone(handler);
        proxy.thread_pool().run(move || handler.handle(exchange));
    }
}

fn listen_error(address: &str, err: &io::Error) -> StandinError {
    StandinError::Listen(address.to_owned(), err.to_string())
}
