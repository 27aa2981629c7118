//! The open connections of clients, limited by memory and descriptors.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use rustix::process::Resource;
use rustix::process::getrlimit;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::clock::BootClock;
use crate::connection_activity::ConnectionActivity;
use crate::connection_activity::Waiting;
use crate::connection_group::ConnectionGroup;
use crate::memory_budget::MemoryBudget;
use siskinyoke_base::Clock;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// What is reserved for each connection: its buffers, and the state of its request.
const CONNECTION_BYTES: usize = 16 * 1024;

/// How long a connection that is to be opened waits before it is looked for room again.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long a client may not have read a response until its connection may be closed to make room
/// for others.
const MIN_BLOCKED_TIME: Millis = Millis(3_000);

#[derive(Debug)]
struct Entry {
    group: ConnectionGroup,
    activity: Rc<ConnectionActivity>,
}

/// The open connections of clients.
///
/// Where there is no room, those are closed whose clients have kept this process waiting for the
/// longest time. Where memory is short these are first the clients that do not read their responses;
/// where descriptors are, first those without a whole request.
#[derive(Debug)]
pub struct OpenConnections {
    entries: RefCell<Map<u64, Entry>>,
    next_id: Cell<u64>,
    counts: [Cell<usize>; ConnectionGroup::GROUP_COUNT],
    closed: Notify,
    memory: MemoryBudget,
    // The part of the memory for large responses.
    responses: MemoryBudget,
}

impl OpenConnections {
    /// Returns no connections, whose memory will count towards a budget. Clients that do not read
    /// hold that for `responses`, which is a part of it.
    pub fn new(memory: MemoryBudget, responses: MemoryBudget) -> Self {
        Self {
            responses,
            entries: RefCell::default(),
            next_id: Cell::new(0),
            counts: Default::default(),
            closed: Notify::new(),
            memory,
        }
    }

    /// Returns how many connections of a group are open.
    pub fn count(&self, group: ConnectionGroup) -> usize {
        self.counts[group as usize].get()
    }

    /// Adds a connection if there is room for it.
    pub fn try_add(self: &Rc<Self>, group: ConnectionGroup) -> Option<OpenConnection> {
        if self.count(group) >= group.max_connections(descriptor_limit()) {
            self.close_waiting(|it| it.group == group, descriptor_order);
            return None;
        }
        let memory = self.memory.reserve(CONNECTION_BYTES).ok()?;
        let activity = Rc::new(ConnectionActivity::new(BootClock.now()).with_memory(memory));
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let entry = Entry {
            group,
            activity: activity.clone(),
        };
        self.entries.borrow_mut().insert(id, entry);
        self.counts[group as usize].set(self.count(group) + 1);
        Some(OpenConnection {
            connections: self.clone(),
            id,
            group,
            activity,
        })
    }

    /// Adds a connection as soon as there is room for it.
    pub async fn add(self: &Rc<Self>, group: ConnectionGroup) -> OpenConnection {
        loop {
            let closed = self.closed.notified();
            if let Some(connection) = self.try_add(group) {
                return connection;
            }
            // Memory may be released without a connection being closed.
            drop(timeout(ROOM_POLL_INTERVAL, closed).await);
        }
    }

    /// Closes a connection each time that a reservation of memory has failed.
    pub async fn make_room(&self) {
        loop {
            tokio::select! {
                () = self.memory.exhausted() => self.close_waiting(|_| true, memory_order),
                () = self.responses.exhausted() => {
                    let is_blocked = |it: &Entry| it.activity.blocked_since().is_some();
                    self.close_waiting(is_blocked, memory_order);
                }
            }
        }
    }

    // Requests that one of some connections is closed, those with a lower order first.
    fn close_waiting(&self, is_eligible: impl Fn(&Entry) -> bool, order: fn(Waiting) -> u8) {
        let now = BootClock.now();
        let entries = self.entries.borrow();
        let eligible = entries.values().filter(|it| is_eligible(it));
        let waiting = eligible.filter_map(|it| {
            let (kind, since) = it.activity.waiting()?;
            let may_close = kind != Waiting::Reading || now.since(since) >= MIN_BLOCKED_TIME;
            may_close.then_some(((order(kind), since), &it.activity))
        });
        if let Some((_, activity)) = waiting.min_by_key(|it| it.0) {
            activity.request_close();
        }
    }
}

fn memory_order(waiting: Waiting) -> u8 {
    match waiting {
        Waiting::Reading => 0,
        Waiting::Sending => 1,
        Waiting::Idle => 2,
    }
}

fn descriptor_order(waiting: Waiting) -> u8 {
    match waiting {
        Waiting::Sending | Waiting::Idle => 0,
        Waiting::Reading => 1,
    }
}

// Returns how many descriptors this process may open. The limit may be changed from outside.
fn descriptor_limit() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map_or(usize::MAX, |it| usize::try_from(it).unwrap_or(usize::MAX))
}

/// An open connection, counted until it is dropped.
#[derive(Debug)]
pub struct OpenConnection {
    connections: Rc<OpenConnections>,
    id: u64,
    group: ConnectionGroup,
    /// What is received and sent over it.
    pub activity: Rc<ConnectionActivity>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let connections = &self.connections;
        connections.entries.borrow_mut().remove(&self.id);
        connections.counts[self.group as usize].set(connections.count(self.group) - 1);
        self.activity.release_memory();
        connections.closed.notify_waiters();
    }
}
