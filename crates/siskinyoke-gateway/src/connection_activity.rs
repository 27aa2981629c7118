//! What has been received and sent over a connection of a client.

use std::cell::Cell;
use std::cell::RefCell;

use tokio::sync::Notify;

use crate::memory_budget::OutOfMemoryError;
use crate::memory_reservation::MemoryReservation;
use siskinyoke_base::Millis;

/// How much of a response a client must take for its connection not to count as blocked from the
/// beginning.
const PROGRESS_BYTES: usize = 64 * 1024;

/// The part of a head that the reservation of a new connection covers.
const COVERED_HEAD_BYTES: usize = 8 * 1024;

/// What a connection waits for its client to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Waiting {
    /// To read a response.
    Reading,
    /// To complete the head of a request.
    Sending,
    /// To send a request.
    Idle,
}

/// A response that the operating system does not take more of.
#[derive(Debug, Clone, Copy)]
struct Blocked {
    // When the client had last taken `PROGRESS_BYTES`; at first, when the socket was full.
    since: Millis,
    // What it has taken since then.
    taken: usize,
}

/// What has been received and sent over a connection of a client.
#[derive(Debug)]
pub struct ConnectionActivity {
    // Requests whose response bodies have not been passed to the connection entirely.
    open_requests: Cell<usize>,
    unflushed: Cell<bool>,
    idle_since: Cell<Millis>,
    // The limit that was in force when the connection became idle.
    initial_limit: Cell<Option<Millis>>,
    head_since: Cell<Option<Millis>>,
    // Whether a part of a head was found when the connection was about to be closed.
    head_confirmed: Cell<bool>,
    // The number of bytes that were received of a head.
    head_bytes: Cell<usize>,
    // Whether the last response ends with its connection.
    ends_unmarked: Cell<bool>,
    blocked: Cell<Option<Blocked>>,
    close_requested: Cell<bool>,
    closing: Notify,
    // Covers the connection and the head that is received, if memory is limited.
    memory: RefCell<Option<MemoryReservation>>,
    base_bytes: Cell<usize>,
}

impl ConnectionActivity {
    /// Returns the activity of a connection that is opened now.
    pub fn new(now: Millis) -> Self {
        Self {
            open_requests: Cell::new(0),
            unflushed: Cell::new(false),
            idle_since: Cell::new(now),
            initial_limit: Cell::new(None),
            head_since: Cell::new(None),
            head_confirmed: Cell::new(false),
            head_bytes: Cell::new(0),
            ends_unmarked: Cell::new(false),
            blocked: Cell::new(None),
            close_requested: Cell::new(false),
            closing: Notify::new(),
            memory: RefCell::new(None),
            base_bytes: Cell::new(0),
        }
    }

    /// Sets the memory that is reserved for the connection, which grows with heads.
    #[must_use]
    pub fn with_memory(self, memory: MemoryReservation) -> Self {
        self.base_bytes.set(memory.bytes());
        self.memory.replace(Some(memory));
        self
    }

    /// Returns whether a request is being served, or its response being sent.
    pub fn is_busy(&self) -> bool {
        self.open_requests.get() > 0 || self.unflushed.get()
    }

    /// Returns until when the connection may be idle, with the limit that is in force now.
    ///
    /// It is to be asked as soon as the connection is idle: the limit that is in force then is kept
    /// if a lower one follows, as the client may rely on it.
    pub fn idle_end(&self, limit: Millis) -> Millis {
        let initial = self.initial_limit.get().unwrap_or(limit);
        self.initial_limit.set(Some(initial));
        self.idle_since.get() + limit.max(initial)
    }

    /// Returns since when a part of a head has been received, as far as is known.
    ///
    /// What was received may have been the rest of the last request's body, unless it is confirmed.
    pub fn head_since(&self) -> Option<Millis> {
        self.head_since.get()
    }

    /// Returns whether what was received is surely a part of a head.
    pub fn is_head_confirmed(&self) -> bool {
        self.head_confirmed.get()
    }

    /// Returns whether the last response ends with its connection.
    pub fn ends_unmarked(&self) -> bool {
        self.ends_unmarked.get()
    }

    /// Returns since when the client has not taken enough of a response that waits for it.
    pub fn blocked_since(&self) -> Option<Millis> {
        self.blocked.get().map(|it| it.since)
    }

    /// Returns what the connection waits for its client to do, and since when, unless it is to be
    /// closed already.
    pub fn waiting(&self) -> Option<(Waiting, Millis)> {
        if self.close_requested.get() {
            None
        } else if let Some(since) = self.blocked_since() {
            Some((Waiting::Reading, since))
        } else if self.is_busy() {
            None
        } else if let Some(since) = self.head_since.get() {
            Some((Waiting::Sending, since))
        } else {
            Some((Waiting::Idle, self.idle_since.get()))
        }
    }

    /// Requests that the connection is closed unless its client completes what it waits for.
    pub fn request_close(&self) {
        self.close_requested.set(true);
        self.closing.notify_one();
    }

    /// Completes when it is requested that the connection is closed.
    pub async fn close_requested(&self) {
        self.closing.notified().await;
    }

    /// Records that the connection is not closed although it was requested.
    pub fn withdraw_close(&self) {
        self.close_requested.set(false);
    }

    /// Returns how many bytes of a head have been received, as far as is known.
    pub fn head_bytes(&self) -> usize {
        self.head_bytes.get()
    }

    /// Counts bytes that may be a part of a head.
    ///
    /// # Errors
    ///
    /// The memory for them is used up.
    pub fn head_received(&self, bytes: usize) -> Result<(), OutOfMemoryError> {
        if self.open_requests.get() > 0 {
            return Ok(());
        }
        self.head_bytes.set(self.head_bytes.get() + bytes);
        let uncovered = self.head_bytes.get().saturating_sub(COVERED_HEAD_BYTES);
        match &mut *self.memory.borrow_mut() {
            Some(memory) => memory.resize(self.base_bytes.get() + uncovered),
            None => Ok(()),
        }
    }

    /// Releases the memory that is reserved for the connection.
    pub fn release_memory(&self) {
        self.memory.replace(None);
    }

    /// Records that a whole head was received.
    pub fn request_started(&self) {
        self.open_requests.set(self.open_requests.get() + 1);
        self.head_since.set(None);
        self.head_confirmed.set(false);
    }

    /// Records whether the response that is about to be sent ends with its connection.
    pub fn response_started(&self, ends_unmarked: bool) {
        self.ends_unmarked.set(ends_unmarked);
    }

    /// Records that the last part of a response was passed to the connection.
    pub fn response_ended(&self) {
        self.open_requests.set(self.open_requests.get() - 1);
        self.head_bytes.set(0);
        if let Some(memory) = &mut *self.memory.borrow_mut() {
            memory.shrink_to(self.base_bytes.get());
        }
    }

    /// Records that bytes other than empty lines were received.
    pub fn received(&self, now: Millis) {
        if self.open_requests.get() == 0 {
            let since = self.head_since.get().unwrap_or(now);
            self.head_since.set(Some(since));
        }
    }

    /// Records that a part of a head was received, now or earlier.
    pub fn confirm_head(&self, now: Millis) {
        self.received(now);
        self.head_confirmed.set(true);
    }

    /// Records that no part of a head has been received.
    pub fn discard_head(&self) {
        self.head_since.set(None);
        self.head_confirmed.set(false);
    }

    /// Records that bytes are being sent.
    pub fn sending(&self) {
        self.unflushed.set(true);
    }

    /// Records that the operating system takes no more bytes now.
    pub fn write_blocked(&self, now: Millis) {
        if self.blocked.get().is_none() {
            let blocked = Blocked {
                since: now,
                taken: 0,
            };
            self.blocked.set(Some(blocked));
        }
    }

    /// Records that the operating system has taken bytes.
    pub fn written(&self, bytes: usize, now: impl FnOnce() -> Millis) {
        let Some(mut blocked) = self.blocked.get() else {
            return;
        };
        blocked.taken += bytes;
        if blocked.taken >= PROGRESS_BYTES {
            blocked = Blocked {
                since: now(),
                taken: 0,
            };
        }
        self.blocked.set(Some(blocked));
    }

    /// Records that everything has been passed to the operating system.
    pub fn flushed(&self, now: Millis) {
        self.blocked.set(None);
        if self.unflushed.replace(false) {
            self.idle_since.set(now);
            self.initial_limit.set(None);
        }
    }
}
