//! A loopback proxy that injects network faults.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// The fault that a proxy applies to its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Forwards all bytes.
    None,
    /// Delays bytes in both directions, by this many milliseconds.
    DelayMs(u64),
    /// Forwards at most this many bytes per millisecond from the target on each connection.
    LimitRate(u64),
    /// Discards bytes in both directions.
    DropAll,
    /// Discards bytes from the target.
    DropResponses,
    /// Closes existing connections when bytes arrive on them, and new ones at once.
    Reset,
}

/// A loopback proxy that injects network faults.
#[derive(Debug, Clone)]
pub struct Proxy {
    /// The address that it listens on.
    pub address: SocketAddr,
    fault: Arc<Mutex<Fault>>,
    accepted: Arc<AtomicUsize>,
}

impl Proxy {
    /// Starts a proxy that forwards connections to the target.
    ///
    /// # Panics
    ///
    /// If no port is free.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let proxy = Self {
            address,
            fault: Arc::new(Mutex::new(Fault::None)),
            accepted: Arc::default(),
        };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                accepting.accepted.fetch_add(1, Ordering::Relaxed);
                accepting.forward_connection(client, target);
            }
        });
        proxy
    }

    /// Sets the fault that applies to all connections from now on.
    ///
    /// # Panics
    ///
    /// If a thread of the proxy has panicked.
    pub fn set_fault(&self, fault: Fault) {
        *self.fault.lock().unwrap() = fault;
    }

    /// Returns the number of connections accepted so far.
    pub fn connection_count(&self) -> usize {
        self.accepted.load(Ordering::Relaxed)
    }

    fn fault(&self) -> Fault {
        *self.fault.lock().unwrap()
    }

    fn forward_connection(&self, client: TcpStream, target: SocketAddr) {
        if self.fault() == Fault::Reset {
            return;
        }
        let Ok(server) = TcpStream::connect(target) else {
            return;
        };
        let (Ok(client_writer), Ok(server_reader)) = (client.try_clone(), server.try_clone())
        else {
            return;
        };
        let upstream = self.clone();
        let downstream = self.clone();
        thread::spawn(move || upstream.forward_bytes(client, server, false));
        thread::spawn(move || downstream.forward_bytes(server_reader, client_writer, true));
    }

    fn forward_bytes(&self, mut from: TcpStream, mut to: TcpStream, is_response: bool) {
        let mut buffer = [0; 4096];
        while let Ok(length) = from.read(&mut buffer) {
            let discard = match self.fault() {
                Fault::Reset => break,
                Fault::DropAll => true,
                Fault::DropResponses => is_response,
                Fault::DelayMs(delay_ms) => {
                    thread::sleep(Duration::from_millis(delay_ms));
                    false
                }
                Fault::LimitRate(bytes_per_ms) if is_response => {
                    let delay_us = u64::try_from(length).unwrap_or(0) * 1_000 / bytes_per_ms;
                    thread::sleep(Duration::from_micros(delay_us));
                    false
                }
                Fault::LimitRate(_) | Fault::None => false,
            };
            if length == 0 || (!discard && to.write_all(&buffer[..length]).is_err()) {
                break;
            }
        }
        // Either side may be closed already.
        drop(from.shutdown(Shutdown::Both));
        drop(to.shutdown(Shutdown::Both));
    }
}
