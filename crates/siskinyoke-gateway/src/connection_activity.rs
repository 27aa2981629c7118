//! What has been received and sent over a connection of a client.

use std::cell::Cell;

use siskinyoke_base::Millis;

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
    // Whether the last response ends with its connection.
    ends_unmarked: Cell<bool>,
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
            ends_unmarked: Cell::new(false),
        }
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

    /// Records that everything has been passed to the operating system.
    pub fn flushed(&self, now: Millis) {
        if self.unflushed.replace(false) {
            self.idle_since.set(now);
            self.initial_limit.set(None);
        }
    }
}
