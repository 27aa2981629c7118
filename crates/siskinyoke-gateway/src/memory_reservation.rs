//! Memory reserved in a budget.

use crate::memory_budget::MemoryBudget;
use crate::memory_budget::OutOfMemoryError;

/// Memory reserved in a budget, released on drop.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl MemoryReservation {
    /// Returns a reservation of no bytes.
    pub fn empty(budget: MemoryBudget) -> Self {
        Self { budget, bytes: 0 }
    }

    /// Returns the number of bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves a number of further bytes.
    ///
    /// # Errors
    ///
    /// The limit would be exceeded; the reservation is as before then.
    pub fn grow(&mut self, bytes: usize) -> Result<(), OutOfMemoryError> {
        self.budget.add(bytes)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Reserves as much as is missing to a number of bytes, or releases what is beyond it.
    ///
    /// # Errors
    ///
    /// The limit would be exceeded; the reservation is as before then.
    pub fn resize(&mut self, bytes: usize) -> Result<(), OutOfMemoryError> {
        if bytes > self.bytes {
            return self.grow(bytes - self.bytes);
        }
        self.shrink_to(bytes);
        Ok(())
    }

    /// Adds another reservation in the same budget.
    pub fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Releases all but a number of bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        self.budget.subtract(released);
        self.bytes -= released;
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.subtract(self.bytes);
    }
}
