//! The door before a stand-in, which can refuse, freeze and cut connections.
//!
//! `tiny_http` gives no hold on its sockets, so a stand-in's server listens on an address of its
//! own and the gate passes bytes between it and the address that others know.

mod connection;
mod listen;

use self::listen::ReservedAddress;
pub use self::listen::listen;

use std::io;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
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

/// Bytes passed on at once; a piece of a stream is far smaller.
const BUFFER_BYTES: usize = 16 * 1024;

/// Pause before an address that is still held is tried again.
const REBIND_INTERVAL: Duration = Duration::from_millis(5);

/// Wait before a server that has not begun with a connection is nudged: some times as long as it
/// takes to begin.
const MIN_WAKE_INTERVAL: Duration = Duration::from_millis(20);

/// Longest wait before a further nudge.
const MAX_WAKE_INTERVAL: Duration = Duration::from_secs(1);

/// Longest span that a fault may last, a day, so that the sum of instants cannot overflow.
const MAX_FAULT_DURATION: Millis = Millis::from_secs(86_400);

/// Passes connections to a stand-in's server, and breaks them when told to.
pub struct Proxy {
    public_address: SocketAddr,
    server_address: SocketAddr,
    thread_pool: Arc<ThreadPool>,
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    connections: Map<SocketAddr, Connection>,
    down_until: Option<Instant>,
    frozen_until: Option<Instant>,
    unbound: bool,
    stopped: bool,
}

impl Proxy {
    /// Opens the gate on an address before a server's own.
    ///
    /// # Errors
    ///
    /// What the system says if the address cannot be listened on.
    pub fn open(address: &str, inner: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = self::listen(address)?;
        let gate = Arc::new(Self {
            public_address: listener.local_addr()?,
            server_address: inner,
            thread_pool: Arc::default(),
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let own = Arc::clone(&gate);
        thread::spawn(move || own.run_acceptor(listener));
        Ok(gate)
    }

    /// Returns the threads of the stand-in.
    pub fn thread_pool(&self) -> &Arc<ThreadPool> {
        &self.thread_pool
    }

    /// Returns the address that others know.
    pub fn address(&self) -> SocketAddr {
        self.public_address
    }

    /// Cuts every connection behind all that the server has sent, and refuses new ones for a span;
    /// returns once they are refused.
    pub fn take_down(&self, span: Millis) {
        let mut state = self.lock();
        state.down_until = Some(deadline_after(span));
        state.frozen_until = None;
        shut_down_servers(&state);
        drop(state);
        self.wake_acceptor();
        let mut state = self.lock();
        while let Some(rest) = state.down_until.and_then(remaining)
            && !state.unbound
            && !state.stopped
        {
            state = self.wait(state, rest);
        }
    }

    /// Takes connections again; returns once they are taken.
    pub fn bring_up(&self) {
        let mut state = self.lock();
        state.down_until = None;
        self.changed.notify_all();
        while state.unbound && !state.stopped {
            state = self.wait(state, REBIND_INTERVAL);
        }
    }

    /// Passes nothing on for a span while connections stay open.
    pub fn freeze(&self, span: Millis) {
        self.lock().frozen_until = Some(deadline_after(span));
    }

    /// Passes everything on again.
    pub fn thaw(&self) {
        self.lock().frozen_until = None;
        self.changed.notify_all();
    }

    /// Carries out the orders that every stand-in takes; a span of zero ends a fault.
    pub fn apply_faults(&self, down: Option<Millis>, freeze: Option<Millis>) {
        match down {
            Some(Millis::ZERO) => self.bring_up(),
            Some(span) => self.take_down(span),
            None => {}
        }
        match freeze {
            Some(Millis::ZERO) => self.thaw(),
            Some(span) => self.freeze(span),
            None => {}
        }
    }

    /// Cuts the connection that the server sees under an address, behind all that it has sent.
    ///
    /// Closing both sides at once would lose what the gate has not passed on yet, which shows as
    /// a broken stream that is shorter than it was told to be. What has arrived from the server
    /// can still be read after its side is shut, and only then is the client's side closed.
    pub fn close_after_flush(&self, seen: SocketAddr) {
        if let Some(link) = self.lock().connections.get(&seen) {
            link.shut_down_server();
        }
    }

    /// Cuts the connection that the server sees under an address at once.
    fn close(&self, seen: SocketAddr) {
        let link = self.lock().connections.remove(&seen);
        if let Some(link) = link {
            link.close();
        }
    }

    /// Cuts every connection once, behind all that the server has sent.
    pub fn close_all_after_flush(&self) {
        shut_down_servers(&self.lock());
    }

    /// Notes that the server has begun with a connection, and says whether it is one of the gate's.
    pub fn mark_handled(&self, seen: SocketAddr) -> bool {
        let mut state = self.lock();
        let link = state.connections.get_mut(&seen);
        link.is_some_and(|link| {
            link.handled = true;
            true
        })
    }

    /// Says whether the connection that the server sees under an address is open.
    pub fn is_open(&self, seen: SocketAddr) -> bool {
        self.lock().connections.contains_key(&seen)
    }

    /// Says whether the gate is closed for good.
    pub fn is_stopped(&self) -> bool {
        self.lock().stopped
    }

    /// Cuts every connection and closes the gate for good.
    pub fn stop(&self) {
        let mut state = self.lock();
        state.stopped = true;
        close_all(&mut state);
        drop(state);
        self.wake_acceptor();
    }

    /// Takes connections until the gate is stopped, away from the address while it is down.
    fn run_acceptor(self: Arc<Self>, first: TcpListener) {
        let mut listener = Some(first);
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
            let Some(open) = &listener else {
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
            let Ok((client, _)) = open.accept() else {
                continue;
            };
            let gate = Arc::clone(&self);
            self.thread_pool.run(move || gate.forward(client));
        }
    }

    /// Joins a client with the server and passes bytes both ways.
    fn forward(self: Arc<Self>, client: TcpStream) {
        // Without a connection to the server the client sees its own closed.
        let Ok(link) = Connection::connect(client, self.server_address) else {
            return;
        };
        let (Ok(seen), Ok(up), Ok(down)) = (link.peer(), link.to_server(), link.to_client()) else {
            return;
        };
        {
            let mut state = self.lock();
            if state.stopped || state.down_until.and_then(remaining).is_some() {
                link.close();
                return;
            }
            state.connections.insert(seen, link);
        }
        let gate = Arc::clone(&self);
        self.thread_pool.run(move || gate.copy_to_server(up, seen));
        self.copy(down, seen);
    }

    /// Passes bytes one way until either side closes, then closes the connection.
    fn copy(&self, mut way: Direction, seen: SocketAddr) {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(count) = way.source.read(&mut buffer) {
            self.wait_while_frozen();
            if count == 0 || way.destination.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        self.close(seen);
    }

    /// Passes a client's bytes on, and nudges the server until it has begun with them.
    ///
    /// `tiny_http` may queue two new connections for the same idle thread. The second is then not
    /// read until any other connection ends, which shows as a first token that comes as late as
    /// someone else's stream is long. A connection that opens and closes at once gets a thread,
    /// which takes the queued one up when it is done.
    fn copy_to_server(&self, mut way: Direction, seen: SocketAddr) {
        let mut buffer = vec![0; BUFFER_BYTES];
        let mut pause = MIN_WAKE_INTERVAL;
        let mut sent = false;
        while !self.is_handled(seen) && way.set_read_timeout(Some(pause)) {
            match way.source.read(&mut buffer) {
                Ok(count) if count > 0 => {
                    self.wait_while_frozen();
                    if way.destination.write_all(&buffer[..count]).is_err() {
                        return self.close(seen);
                    }
                    sent = true;
                    pause = MIN_WAKE_INTERVAL;
                }
                Err(err) if err.kind() == ErrorKind::WouldBlock => {
                    if sent {
                        drop(TcpStream::connect(self.server_address));
                    }
                    pause = (pause * 2).min(MAX_WAKE_INTERVAL);
                }
                // A process that was stopped and goes on finds its waits interrupted.
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                _ => return self.close(seen),
            }
        }
        if way.set_read_timeout(None) {
            self.copy(way, seen);
        }
    }

    /// Says whether there is no need to wait for the server: it has begun, or the link is gone.
    fn is_handled(&self, seen: SocketAddr) -> bool {
        let state = self.lock();
        state.connections.get(&seen).is_none_or(|link| link.handled)
    }

    fn is_down(&self) -> bool {
        let state = self.lock();
        state.down_until.and_then(remaining).is_some()
    }

    fn set_unbound(&self, away: bool) {
        self.lock().unbound = away;
        self.changed.notify_all();
    }

    fn wait_while_down(&self) {
        let mut state = self.lock();
        while let Some(rest) = state.down_until.and_then(remaining) {
            if state.stopped {
                return;
            }
            state = self.wait(state, rest);
        }
        state.down_until = None;
    }

    fn wait_while_frozen(&self) {
        let mut state = self.lock();
        while let Some(rest) = state.frozen_until.and_then(remaining) {
            if state.stopped {
                return;
            }
            state = self.wait(state, rest);
        }
    }

    fn wait<'a>(&self, state: MutexGuard<'a, State>, rest: Duration) -> MutexGuard<'a, State> {
        let waited = self.changed.wait_timeout(state, rest);
        waited.unwrap_or_else(PoisonError::into_inner).0
    }

    /// Makes the accepting thread look at the state again, also while it waits for a client.
    fn wake_acceptor(&self) {
        self.changed.notify_all();
        let _ = TcpStream::connect(self.public_address);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn shut_down_servers(state: &State) {
    for link in state.connections.values() {
        link.shut_down_server();
    }
}

fn close_all(state: &mut State) {
    for (_, link) in state.connections.drain() {
        link.close();
    }
}

fn deadline_after(span: Millis) -> Instant {
    Instant::now() + Duration::from(span.min(MAX_FAULT_DURATION))
}

fn remaining(until: Instant) -> Option<Duration> {
    until
        .checked_duration_since(Instant::now())
        .filter(|rest| !rest.is_zero())
}
