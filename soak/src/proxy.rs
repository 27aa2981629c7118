//! A loopback proxy that injects network faults.

use std::collections::BTreeMap;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
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

use rustix::net::sockopt::set_socket_linger;

/// How often it is checked whether a silent cut has ended.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(10);

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

/// How the connections from one address are cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Holds all bytes until the cut ends.
    Silent,
    /// Resets existing connections when bytes arrive on them, and new ones at once.
    Reset,
    /// Resets new connections at once; existing ones work.
    RefuseNew,
}

/// A loopback proxy that injects network faults.
#[derive(Debug, Clone)]
pub struct Proxy {
    /// The address that it listens on.
    pub address: SocketAddr,
    fault: Arc<Mutex<Fault>>,
    cuts: Arc<Mutex<BTreeMap<IpAddr, Cut>>>,
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
            cuts: Arc::default(),
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

    /// Cuts off the connections from an IP address, or ends the cut.
    ///
    /// # Panics
    ///
    /// If a thread of the proxy has panicked.
    pub fn set_cut(&self, source: IpAddr, cut: Option<Cut>) {
        let mut cuts = self.cuts.lock().unwrap();
        match cut {
            Some(cut) => cuts.insert(source, cut),
            None => cuts.remove(&source),
        };
    }

    /// Returns the number of connections accepted so far.
    pub fn connection_count(&self) -> usize {
        self.accepted.load(Ordering::Relaxed)
    }

    fn fault(&self) -> Fault {
        *self.fault.lock().unwrap()
    }

    fn cut(&self, source: IpAddr) -> Option<Cut> {
        self.cuts.lock().unwrap().get(&source).copied()
    }

    fn forward_connection(&self, client: TcpStream, target: SocketAddr) {
        let Ok(source) = client.peer_addr().map(|it| it.ip()) else {
            return;
        };
        if matches!(self.cut(source), Some(Cut::Reset | Cut::RefuseNew)) {
            reset_on_drop(&client);
            return;
        }
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
        thread::spawn(move || upstream.forward_bytes(client, server, source, false));
        thread::spawn(move || downstream.forward_bytes(server_reader, client_writer, source, true));
    }

    fn forward_bytes(
        &self,
        mut from: TcpStream,
        mut to: TcpStream,
        source: IpAddr,
        is_response: bool,
    ) {
        let mut buffer = [0; 4096];
        while let Ok(length) = from.read(&mut buffer) {
            while self.cut(source) == Some(Cut::Silent) {
                thread::sleep(CUT_POLL_INTERVAL);
            }
            if self.cut(source) == Some(Cut::Reset) {
                reset_on_drop(if is_response { &to } else { &from });
                break;
            }
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

// Lets a connection end with a reset. An error means that it is closed already.
fn reset_on_drop(stream: &TcpStream) {
    let _ = set_socket_linger(stream, Some(Duration::ZERO));
}
