//! A limit on the memory that a kind of data uses in the whole process.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use quick_error::quick_error;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::memory_reservation::MemoryReservation;

/// How long a task waits for released memory before it asks again for room.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(100);

quick_error! {
    /// A memory budget that is used up.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum OutOfMemoryError {
        /// The limit would be exceeded.
        OutOfMemory {
            display("the memory budget is used up; it grows with `memory_mb` in the settings")
        }
    }
}

#[derive(Debug)]
struct State {
    limit: AtomicUsize,
    held: AtomicUsize,
    // The budget of which this one is a part.
    whole: Option<MemoryBudget>,
    released: Notify,
    exhausted: Notify,
}

/// A limit on the memory that a kind of data uses in the whole process. Clones share it.
///
/// Without one, a few hundred large bodies exhaust the memory of a small instance, whose crash
/// breaks every request it serves.
#[derive(Debug, Clone)]
pub struct MemoryBudget(Arc<State>);

impl MemoryBudget {
    /// Creates a budget with a limit in bytes.
    pub fn new(limit: usize) -> Self {
        Self::with_whole(limit, None)
    }

    /// Creates a budget for a part of what counts towards this one.
    #[must_use]
    pub fn part(&self, limit: usize) -> Self {
        Self::with_whole(limit, Some(self.clone()))
    }

    fn with_whole(limit: usize, whole: Option<Self>) -> Self {
        Self(Arc::new(State {
            limit: AtomicUsize::new(limit),
            held: AtomicUsize::new(0),
            whole,
            released: Notify::new(),
            exhausted: Notify::new(),
        }))
    }

    /// Changes the limit, in bytes. What is reserved already stays reserved.
    pub fn set_limit(&self, limit: usize) {
        self.0.limit.store(limit, Ordering::Relaxed);
    }

    /// Returns the number of bytes that are reserved.
    pub fn held(&self) -> usize {
        self.0.held.load(Ordering::Relaxed)
    }

    /// Reserves a number of bytes.
    ///
    /// # Errors
    ///
    /// The limit would be exceeded; nothing is reserved then.
    pub fn reserve(&self, bytes: usize) -> Result<MemoryReservation, OutOfMemoryError> {
        let mut reservation = MemoryReservation::empty(self.clone());
        reservation.grow(bytes)?;
        Ok(reservation)
    }

    /// Reserves a number of bytes as soon as they are available.
    pub async fn reserve_when_available(&self, bytes: usize) -> MemoryReservation {
        loop {
            let released = self.0.released.notified();
            if let Ok(reservation) = self.reserve(bytes) {
                return reservation;
            }
            // The limit may have changed as well.
            drop(timeout(ROOM_POLL_INTERVAL, released).await);
        }
    }

    /// Completes after a reservation has failed, once for several in a row.
    pub async fn exhausted(&self) {
        self.0.exhausted.notified().await;
    }

    /// Counts a number of bytes, unless the limit would be exceeded.
    pub(crate) fn add(&self, bytes: usize) -> Result<(), OutOfMemoryError> {
        if let Some(whole) = &self.0.whole {
            whole.add(bytes)?;
        }
        let limit = self.0.limit.load(Ordering::Relaxed);
        let add = |held: usize| held.checked_add(bytes).filter(|it| *it <= limit);
        if (self.0.held)
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .is_ok()
        {
            return Ok(());
        }
        if let Some(whole) = &self.0.whole {
            whole.0.held.fetch_sub(bytes, Ordering::Relaxed);
        }
        self.0.exhausted.notify_one();
        Err(OutOfMemoryError::OutOfMemory)
    }

    /// Stops counting a number of bytes.
    pub(crate) fn subtract(&self, bytes: usize) {
        // A reservation that failed must not wake those who wait, as they would try again at once.
        if bytes == 0 {
            return;
        }
        self.0.held.fetch_sub(bytes, Ordering::Relaxed);
        self.0.released.notify_waiters();
        if let Some(whole) = &self.0.whole {
            whole.subtract(bytes);
        }
    }
}
