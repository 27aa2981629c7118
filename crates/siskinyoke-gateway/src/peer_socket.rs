//! The UDP socket for messages between instances.

use std::cell::OnceCell;
use std::net::SocketAddr;
use std::rc::Rc;

use serde_json::json;
use tokio::net::UdpSocket;

use crate::event_log::EventLog;
use siskinyoke_dispatch::Message;

/// Maximum message size; longer datagrams may be fragmented in transit.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024;

/// The UDP socket for messages between instances; clones share it.
#[derive(Debug, Clone)]
pub struct PeerSocket {
    socket: Rc<OnceCell<UdpSocket>>,
    log: EventLog,
}

impl PeerSocket {
    /// Creates a socket that is not bound yet; messages sent before that are dropped.
    pub fn new(log: EventLog) -> Self {
        Self {
            socket: Rc::default(),
            log,
        }
    }

    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// The operating system's error, with the address.
    pub async fn bind(&self, address: SocketAddr) -> std::io::Result<()> {
        let socket = UdpSocket::bind(address).await.map_err(|err| {
            std::io::Error::new(
                err.kind(),
                format!("cannot bind the peer socket to {address}: {err}"),
            )
        })?;
        self.socket.get_or_init(|| socket);
        Ok(())
    }

    /// Returns the socket, once it is bound.
    pub fn get(&self) -> Option<&UdpSocket> {
        self.socket.get()
    }

    /// Sends a message to an instance. Messages may be lost, so a failure is only logged.
    pub fn send(&self, to: SocketAddr, message: &Message) {
        if let Some(bytes) = self.encode(message) {
            self.send_bytes(to, &bytes, true);
        }
    }

    /// Encodes a message; one that is too long is logged and not sent.
    pub fn encode(&self, message: &Message) -> Option<Vec<u8>> {
        match postcard::to_allocvec(message) {
            Ok(bytes) if bytes.len() <= MAX_MESSAGE_BYTES => Some(bytes),
            Ok(bytes) => {
                let fields = json!({ "bytes": bytes.len() });
                self.log.log("message_too_long", fields);
                None
            }
            Err(err) => {
                let fields = json!({ "error": err.to_string() });
                self.log.log("message_unwritable", fields);
                None
            }
        }
    }

    /// Sends an encoded message.
    ///
    /// Failures need no handling: the reports of an unreachable peer stop arriving.
    pub fn send_bytes(&self, to: SocketAddr, bytes: &[u8], log_failure: bool) {
        let sent = self.get().map(|it| it.try_send_to(bytes, to));
        if let Some(Err(err)) = sent
            && log_failure
        {
            let fields = json!({ "to": to.to_string(), "error": err.to_string() });
            self.log.log("message_unsent", fields);
        }
    }
}
