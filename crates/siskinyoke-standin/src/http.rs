//! The HTTP server of all stand-ins.

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

/// Maximum body size. The largest value that the platform stores fits in base64.
const MAX_BODY_BYTES: u64 = 8 * 1024 * 1024;

/// How often the server thread checks whether the server is stopped.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Handles requests, each on its own thread.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request.
    fn handle(&self, exchange: Exchange);
}

/// A running server behind a proxy.
pub struct HttpServer {
    proxy: Arc<Proxy>,
    control_address: SocketAddr,
}

impl HttpServer {
    /// Starts a server behind a proxy at `address`. The address `control` bypasses the proxy and
    /// stays reachable during outages.
    ///
    /// # Errors
    ///
    /// [`StandinError::Listen`] if one of the addresses cannot be listened on.
    pub fn start(
        address: &str,
        control: &str,
        handler: Arc<dyn Handler>,
    ) -> Result<Self, StandinError> {
        let listener = listen(control).map_err(|err| listen_error(control, &err))?;
        let server_address = listener
            .local_addr()
            .map_err(|err| listen_error(control, &err))?;
        let server = new_server(control, listener)?;
        let proxy =
            Proxy::open(address, server_address).map_err(|err| listen_error(address, &err))?;
        let server_proxy = Arc::clone(&proxy);
        thread::spawn(move || serve(&server, &server_proxy, &handler));
        Ok(Self {
            proxy,
            control_address: server_address,
        })
    }

    /// Returns the public address, which is the proxy's.
    pub fn address(&self) -> SocketAddr {
        self.proxy.address()
    }

    /// Returns the server's own address, which stays reachable during outages.
    pub fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// Returns the proxy in front of the server.
    pub fn proxy(&self) -> &Proxy {
        &self.proxy
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.proxy.stop();
    }
}

/// One request and the means to respond to it.
pub struct Exchange {
    request: Request,
    proxy: Arc<Proxy>,
    peer: Option<SocketAddr>,
    // Headers that are added to the response.
    headers: Vec<Header>,
}

impl Exchange {
    /// Returns the method in upper case.
    pub fn method(&self) -> String {
        self.request.method().to_string()
    }

    /// Returns the path with the query.
    pub fn url(&self) -> &str {
        self.request.url()
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.url().split('?').next().unwrap_or_default()
    }

    /// Returns the value of a header; the case of its name is ignored.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.request.headers().iter();
        let found =
            headers.find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name));
        found.map(|header| header.value.as_str())
    }

    /// Adds a header to the response; an invalid one is left out.
    pub fn add_header(&mut self, name: &str, value: &str) {
        self.headers.extend(Header::from_bytes(name, value));
    }

    /// Returns whether the caller's connection is still open.
    pub fn is_connected(&self) -> bool {
        self.peer.is_none_or(|peer| self.proxy.is_open(peer))
    }

    /// Reads the body.
    ///
    /// # Errors
    ///
    /// An I/O error if the caller has closed the connection.
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
    /// A message for the caller if the body cannot be read or is malformed.
    pub fn json<T: DeserializeOwned>(&mut self) -> Result<T, String> {
        let body = self.body().map_err(|err| err.to_string())?;
        serde_json::from_slice(&body).map_err(|err| err.to_string())
    }

    /// Responds with JSON.
    pub fn reply_json(self, status: u16, value: &impl Serialize) {
        let text = serde_json::to_string(value).unwrap_or_default();
        self.reply(status, "application/json", &text);
    }

    /// Responds with an error in the OpenAI-compatible format.
    pub fn reply_error(self, status: u16, text: &str) {
        self.reply_json(
            status,
            &json!({ "error": { "message": text, "code": status } }),
        );
    }

    /// Applies a control command, then responds to it: once the caller has the response, the command
    /// is in effect.
    pub fn control<T: DeserializeOwned>(mut self, apply: impl FnOnce(&Proxy, &T)) {
        let command = match self.json() {
            Ok(command) => command,
            Err(detail) => return self.reply_error(400, &detail),
        };
        let proxy = Arc::clone(&self.proxy);
        let peer = self.peer;
        // Applied at once, an outage would close the connection before the response is sent.
        if let Some(peer) = peer {
            proxy.begin_command(peer);
        }
        apply(&proxy, &command);
        self.reply_json(200, &json!({}));
        if let Some(peer) = peer {
            proxy.end_command(peer);
        }
    }

    /// Simulates a crash: closes all connections and refuses new ones for a duration.
    pub fn crash(self, duration: Millis) {
        self.proxy.take_down(duration);
    }

    /// Responds with a text.
    pub fn reply(self, status: u16, content_type: &str, text: &str) {
        let mut response = Response::from_string(text).with_status_code(status);
        let content_type = Header::from_bytes("Content-Type", content_type);
        for header in content_type.into_iter().chain(self.headers) {
            response.add_header(header);
        }
        // An error means that the caller has closed the connection.
        let _ = self.request.respond(response);
    }

    /// Starts a chunked response.
    ///
    /// # Errors
    ///
    /// An I/O error if the caller has closed the connection.
    pub fn start_chunked(self, content_type: &str) -> io::Result<ChunkedResponse> {
        ChunkedResponse::start(
            self.request.into_writer(),
            self.proxy,
            self.peer,
            content_type,
            &self.headers,
        )
    }

    /// Closes the connection without a response.
    pub fn abort(self) {
        if let Some(peer) = self.peer {
            self.proxy.close_after_flush(peer);
        }
    }
}

fn new_server(address: &str, listener: TcpListener) -> Result<Server, StandinError> {
    Server::from_listener(listener, None)
        .map_err(|err| StandinError::Listen(address.to_owned(), err.to_string()))
}

fn serve(server: &Server, proxy: &Arc<Proxy>, handler: &Arc<dyn Handler>) {
    while !proxy.is_stopped() {
        let Ok(Some(request)) = server.recv_timeout(STOP_POLL_INTERVAL) else {
            continue;
        };
        let peer = request.remote_addr().copied();
        let peer = peer.filter(|peer| proxy.mark_handled(*peer));
        let exchange = Exchange {
            request,
            proxy: Arc::clone(proxy),
            peer,
            headers: Vec::new(),
        };
        let handler = Arc::clone(handler);
        proxy.thread_pool().run(move || handler.handle(exchange));
    }
}

fn listen_error(address: &str, err: &io::Error) -> StandinError {
    StandinError::Listen(address.to_owned(), err.to_string())
}
