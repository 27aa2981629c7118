//! A buffer whose memory is reserved in a budget.

use bytes::Bytes;

use crate::memory_budget::MemoryBudget;
use crate::memory_budget::OutOfMemoryError;
use crate::memory_reservation::MemoryReservation;

/// Smallest size of a buffer that grows.
const MIN_CAPACITY_BYTES: usize = 4 * 1024;

/// A buffer whose memory is reserved in a budget while it grows, and for as long as its content is
/// used.
#[derive(Debug)]
pub struct CountedBuffer {
    bytes: Vec<u8>,
    // Covers the buffer's capacity.
    reservation: MemoryReservation,
}

impl CountedBuffer {
    /// Creates an empty buffer with room for a number of bytes.
    ///
    /// # Errors
    ///
    /// The budget is used up.
    pub fn with_capacity(budget: &MemoryBudget, bytes: usize) -> Result<Self, OutOfMemoryError> {
        Ok(Self {
            reservation: budget.reserve(bytes)?,
            bytes: Vec::with_capacity(bytes),
        })
    }

    /// Returns the number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends a copy of some bytes.
    ///
    /// # Errors
    ///
    /// The budget is used up; the buffer is as before then.
    pub fn extend(&mut self, bytes: &[u8]) -> Result<(), OutOfMemoryError> {
        let length = self.bytes.len() + bytes.len();
        if length > self.bytes.capacity() {
            self.grow(length)?;
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the content, whose memory stays reserved until the last clone of it is dropped.
    pub fn freeze(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        self.reservation.shrink_to(self.bytes.capacity());
        Bytes::from_owner(self)
    }

    // Grows to hold a number of bytes: to twice the capacity if there is memory for that, as many
    // small steps would copy the content over and over.
    fn grow(&mut self, length: usize) -> Result<(), OutOfMemoryError> {
        let capacity = self.bytes.capacity();
        let preferred = length.max(2 * capacity).max(MIN_CAPACITY_BYTES);
        let target = if self.reservation.grow(preferred - capacity).is_ok() {
            preferred
        } else {
            self.reservation.grow(length - capacity)?;
            length
        };
        self.bytes.reserve_exact(target - self.bytes.len());
        Ok(())
    }
}

impl AsRef<[u8]> for CountedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
