//! A limit on the memory that a kind of data uses in the whole process.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use quick_error::quick_error;

use crate::memory_reservation::MemoryReservation;

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
        Self(Arc::new(State {
            limit: AtomicUsize::new(limit),
            held: AtomicUsize::new(0),
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

    /// Counts a number of bytes, unless the limit would be exceeded.
    pub(crate) fn add(&self, bytes: usize) -> Result<(), OutOfMemoryError> {
        let limit = self.0.limit.load(Ordering::Relaxed);
        let add = |held: usize| held.checked_add(bytes).filter(|it| *it <= limit);
        match (self.0.held).fetch_update(Ordering::Relaxed, Ordering::Relaxed, add) {
            Ok(_) => Ok(()),
            Err(_) => Err(OutOfMemoryError::OutOfMemory),
        }
    }

    /// Stops counting a number of bytes.
    pub(crate) fn subtract(&self, bytes: usize) {
        self.0.held.fetch_sub(bytes, Ordering::Relaxed);
    }
}
