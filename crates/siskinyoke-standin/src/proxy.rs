//! A TCP proxy in front of a stand-in's server that can refuse, freeze and close connections.
//!
//! `tiny_http` gives no access to its sockets. The server therefore listens on an address of its
//! own, and the proxy copies bytes between it and the public address.

mod connection;
mod listen;

use self::listen::ReservedAddress;
pub use self::listen::listen;

use std::io;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use self::connection::Connection;
use self::connection::Direction;
use crate::thread_pool::ThreadPool;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// Size of a copy buffer; the chunks of a stream are far smaller.
const BUFFER_BYTES: usize = 16 * 1024;

/// Interval of attempts to bind an address that is still in use.
const REBIND_INTERVAL: Duration = Duration::from_millis(5);

/// Delay before the server is woken for a connection that it does not handle yet; a few times the
/// usual delay until it does.
const MIN_WAKE_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum delay between two attempts to wake the server.
const MAX_WAKE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum duration of a fault; it keeps the addition to an [`Instant`] from overflowing.
const MAX_FAULT_DURATION: Millis = Millis::from_secs(86_400);

/// Forwards connections to a stand-in's server and injects faults on request.
pub struct Proxy {
    public_address: SocketAddr,
    server_address: SocketAddr,
    thread_pool: Arc<ThreadPool>,
    state: Mutex<State>,
    changed: Condvar,
}

/// How the connections from one address are cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Holds all bytes until the cut ends.
    Silent,
    /// Closes existing connections, and resets new ones.
    Reset,
    /// Resets new connections; existing ones work.
    RefuseNew,
}

#[derive(Debug, Default)]
struct State {
    /// Open connections by the peer address that the server sees.
    connections: Map<SocketAddr, Connection>,
    down_until: Option<Instant>,
    frozen_until: Option<Instant>,
    /// The IP addresses that are cut off.
    cuts: Map<IpAddr, Cut>,
    /// Whether the public address is not listened on.
    unbound: bool,
    stopped: bool,
}

impl Proxy {
    /// Starts a proxy that listens on an address and forwards connections to a server.
    ///
    /// # Errors
    ///
    /// An I/O error if the address cannot be listened on.
    pub fn open(address: &str, server_address: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = self::listen(address)?;
        let proxy = Arc::new(Self {
            public_address: listener.local_addr()?,
            server_address,
            thread_pool: Arc::default(),
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let acceptor = Arc::clone(&proxy);
        thread::spawn(move || acceptor.run_acceptor(listener));
        Ok(proxy)
    }

    /// Returns the thread pool shared with the server.
    pub fn thread_pool(&self) -> &Arc<ThreadPool> {
        &self.thread_pool
    }

    /// Returns the public address.
    pub fn address(&self) -> SocketAddr {
        self.public_address
    }

    /// Closes all connections after the data already sent by the server, and refuses new ones for a
    /// duration. Returns once new connections are refused.
    ///
    /// Connections on which a control command arrived are left to [`Self::end_command`].
    pub fn take_down(&self, duration: Millis) {
        let mut state = self.lock();
        state.down_until = Some(deadline_after(duration));
        state.frozen_until = None;
        let connections = state.connections.values();
        connections
            .filter(|it| !it.has_command)
            .for_each(Connection::shut_down_server);
        drop(state);
        self.wake_acceptor();
        let mut state = self.lock();
        while let Some(time_left) = state.down_until.and_then(remaining)
            && !state.unbound
            && !state.stopped
        {
            state = self.wait(state, time_left);
        }
    }

    /// Ends an outage. Returns once new connections are accepted.
    pub fn bring_up(&self) {
        let mut state = self.lock();
        state.down_until = None;
        self.changed.notify_all();
        while state.unbound && !state.stopped {
            state = self.wait(state, REBIND_INTERVAL);
        }
    }

    /// Forwards no data for a duration while connections stay open.
    pub fn freeze(&self, duration: Millis) {
        self.lock().frozen_until = Some(deadline_after(duration));
    }

    /// Ends a freeze.
    pub fn thaw(&self) {
        self.lock().frozen_until = None;
        self.changed.notify_all();
    }

    /// Cuts off the connections from an IP address, or ends the cut.
    pub fn set_cut(&self, source: IpAddr, cut: Option<Cut>) {
        let mut state = self.lock();
        match cut {
            Some(cut) => state.cuts.insert(source, cut),
            None => state.cuts.remove(&source),
        };
        if cut == Some(Cut::Reset) {
            for connection in state.connections.values() {
                if connection.source() == Some(source) {
                    connection.close();
                }
            }
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Applies the faults that all stand-ins support; a duration of zero ends a fault.
    pub fn apply_faults(&self, down: Option<Millis>, freeze: Option<Millis>) {
        match down {
            Some(Millis::ZERO) => self.bring_up(),
            Some(duration) => self.take_down(duration),
            None => {}
        }
        match freeze {
            Some(Millis::ZERO) => self.thaw(),
            Some(duration) => self.freeze(duration),
            None => {}
        }
    }

    /// Exempts a connection from faults while a control command that arrived on it is executed, so
    /// that its response can be sent.
    pub fn begin_command(&self, peer: SocketAddr) {
        if let Some(connection) = self.lock().connections.get_mut(&peer) {
            connection.has_command = true;
        }
    }

    /// Ends the exemption from an outage. Call it after the response has been sent.
    pub fn end_command(&self, peer: SocketAddr) {
        if self.is_down() {
            self.close_after_flush(peer);
        }
    }

    /// Closes a connection after the data already sent by the server.
    ///
    /// Closing both sides at once would lose data that is not forwarded yet, and a stream would
    /// break before the requested event. Data received from the server can still be read after its
    /// side is shut down; the client's side is closed after that data.
    pub fn close_after_flush(&self, peer: SocketAddr) {
        if let Some(connection) = self.lock().connections.get(&peer) {
            connection.shut_down_server();
        }
    }

    /// Closes both sides of a connection at once.
    fn close(&self, peer: SocketAddr) {
        let connection = self.lock().connections.remove(&peer);
        if let Some(connection) = connection {
            connection.close();
        }
    }

    /// Closes all connections after the data already sent by the server.
    pub fn close_all_after_flush(&self) {
        let state = self.lock();
        let connections = state.connections.values();
        connections.for_each(Connection::shut_down_server);
    }

    /// Records that the server handles a connection. Returns whether it is one of the proxy's.
    pub fn mark_handled(&self, peer: SocketAddr) -> bool {
        let mut state = self.lock();
        let connection = state.connections.get_mut(&peer);
        connection.is_some_and(|connection| {
            connection.handled = true;
            true
        })
    }

    /// Returns whether a connection is open.
    pub fn is_open(&self, peer: SocketAddr) -> bool {
        self.lock().connections.contains_key(&peer)
    }

    /// Returns whether the proxy is stopped.
    pub fn is_stopped(&self) -> bool {
        self.lock().stopped
    }

    /// Closes all connections and stops the proxy for good.
    pub fn stop(&self) {
        let mut state = self.lock();
        state.stopped = true;
        close_all(&mut state);
        drop(state);
        self.wake_acceptor();
    }

    /// Accepts connections until the proxy is stopped. During an outage the address is reserved but
    /// not listened on.
    fn run_acceptor(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        let mut reserved = None;
        loop {
            if self.lock().stopped {
                return;
            }
            if self.is_down() {
                listener = None;
                reserved = ReservedAddress::new(&self.public_address.to_string()).ok();
                self.set_unbound(true);
                self.wait_while_down();
                continue;
            }
            let Some(bound) = &listener else {
                listener = match reserved.take() {
                    Some(reserved) => reserved.listen().ok(),
                    None => listen(&self.public_address.to_string()).ok(),
                };
                if listener.is_some() {
                    self.set_unbound(false);
                } else {
                    thread::sleep(REBIND_INTERVAL);
                }
                continue;
            };
            let Ok((client, _)) = bound.accept() else {
                continue;
            };
            let proxy = Arc::clone(&self);
            self.thread_pool.run(move || proxy.forward(client));
        }
    }

    /// Connects a client to the server and copies bytes in both directions.
    fn forward(self: Arc<Self>, client: TcpStream) {
        let source = client.peer_addr().ok().map(|it| it.ip());
        let cut = source.and_then(|it| self.lock().cuts.get(&it).copied());
        if matches!(cut, Some(Cut::Reset | Cut::RefuseNew)) {
            connection::reset(&client);
            return;
        }
        // If the server cannot be reached, the client's connection is closed on return.
        let Ok(connection) = Connection::connect(client, self.server_address) else {
            return;
        };
        let (Ok(peer), Ok(to_server), Ok(to_client)) = (
            connection.peer(),
            connection.to_server(),
            connection.to_client(),
        ) else {
            return;
        };
        {
            let mut state = self.lock();
            if state.stopped || state.down_until.and_then(remaining).is_some() {
                connection.close();
                return;
            }
            state.connections.insert(peer, connection);
        }
        let proxy = Arc::clone(&self);
        self.thread_pool
            .run(move || proxy.copy_to_server(to_server, peer));
        self.copy(to_client, peer);
    }

    /// Copies bytes in one direction until either side closes, then closes the connection.
    fn copy(&self, mut direction: Direction, peer: SocketAddr) {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(count) = direction.source.read(&mut buffer) {
            self.wait_while_frozen(peer);
            self.wait_while_silent(peer);
            if count == 0 || direction.destination.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        self.close(peer);
    }

    /// Copies bytes from the client to the server, and wakes the server until it handles them.
    ///
    /// `tiny_http` may queue two new connections for the same idle thread. The second is then not
    /// read until another connection ends, and its first token is delayed by the length of another
    /// stream. A connection that is opened and closed at once makes `tiny_http` use another thread,
    /// which then reads the queued connection.
    fn copy_to_server(&self, mut direction: Direction, peer: SocketAddr) {
        let mut buffer = vec![0; BUFFER_BYTES];
        let mut interval = MIN_WAKE_INTERVAL;
        let mut sent = false;
        while !self.is_handled(peer) && direction.set_read_timeout(Some(interval)) {
            match direction.source.read(&mut buffer) {
                Ok(count) if count > 0 => {
                    self.wait_while_frozen(peer);
                    self.wait_while_silent(peer);
                    if direction.destination.write_all(&buffer[..count]).is_err() {
                        return self.close(peer);
                    }
                    sent = true;
                    interval = MIN_WAKE_INTERVAL;
                }
                Err(err) if err.kind() == ErrorKind::WouldBlock => {
                    if sent {
                        drop(TcpStream::connect(self.server_address));
                    }
                    interval = (interval * 2).min(MAX_WAKE_INTERVAL);
                }
                // Reads are interrupted when a suspended process continues.
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                _ => return self.close(peer),
            }
        }
        if direction.set_read_timeout(None) {
            self.copy(direction, peer);
        }
    }

    /// Returns whether the server handles a connection, or the connection is closed.
    fn is_handled(&self, peer: SocketAddr) -> bool {
        let state = self.lock();
        state
            .connections
            .get(&peer)
            .is_none_or(|connection| connection.handled)
    }

    fn is_down(&self) -> bool {
        let state = self.lock();
        state.down_until.and_then(remaining).is_some()
    }

    fn set_unbound(&self, unbound: bool) {
        self.lock().unbound = unbound;
        self.changed.notify_all();
    }

    fn wait_while_down(&self) {
        let mut state = self.lock();
        while let Some(time_left) = state.down_until.and_then(remaining) {
            if state.stopped {
                return;
            }
            state = self.wait(state, time_left);
        }
        state.down_until = None;
    }

    fn wait_while_frozen(&self, peer: SocketAddr) {
        let mut state = self.lock();
        while let Some(time_left) = state.frozen_until.and_then(remaining) {
            let connection = state.connections.get(&peer);
            if state.stopped || connection.is_some_and(|it| it.has_command) {
                return;
            }
            state = self.wait(state, time_left);
        }
    }

    /// Waits while the client of a connection is cut off in silence.
    fn wait_while_silent(&self, peer: SocketAddr) {
        let mut state = self.lock();
        while !state.stopped
            && let Some(source) = state.connections.get(&peer).and_then(Connection::source)
            && state.cuts.get(&source) == Some(&Cut::Silent)
        {
            state = self.wait(state, MAX_WAKE_INTERVAL);
        }
    }

    fn wait<'a>(&self, state: MutexGuard<'a, State>, time_left: Duration) -> MutexGuard<'a, State> {
        let waited = self.changed.wait_timeout(state, time_left);
        waited.unwrap_or_else(PoisonError::into_inner).0
    }

    /// Makes the acceptor check the state again, even if it is blocked in `accept`.
    fn wake_acceptor(&self) {
        self.changed.notify_all();
        let _ = TcpStream::connect(self.public_address);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn close_all(state: &mut State) {
    for (_, connection) in state.connections.drain() {
        connection.close();
    }
}

fn deadline_after(duration: Millis) -> Instant {
    Instant::now() + Duration::from(duration.min(MAX_FAULT_DURATION))
}

fn remaining(deadline: Instant) -> Option<Duration> {
    deadline
        .checked_duration_since(Instant::now())
        .filter(|time_left| !time_left.is_zero())
}
