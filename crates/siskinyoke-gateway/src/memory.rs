//! Counts the bytes of bodies that are held in memory.

use std::rc::Rc;

use crate::shell::Shell;

/// The part of the memory that bodies may fill; the rest is for connections and answers.
const MEMORY_DIVISOR: u64 = 4;

/// The bytes of one body, counted for as long as it is held.
///
/// Bodies wait with their requests. Without a bound a few hundred large ones fill a small
/// instance's memory, and its end cuts off all that it serves.
#[derive(Debug)]
pub struct MemoryReservation {
    shell: Rc<Shell>,
    bytes: usize,
}

impl MemoryReservation {
    /// Counts a body of so many bytes, or returns nothing if there is no room for it.
    pub fn try_reserve(shell: &Rc<Shell>, bytes: usize) -> Option<Self> {
        let limit = shell.settings().memory_mb * 1024 * 1024 / MEMORY_DIVISOR;
        let held = shell.held_bytes.get().saturating_add(bytes);
        if u64::try_from(held).unwrap_or(u64::MAX) > limit {
            return None;
        }
        shell.held_bytes.set(held);
        Some(Self {
            shell: shell.clone(),
            bytes,
        })
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.shell
            .held_bytes
            .set(self.shell.held_bytes.get() - self.bytes);
    }
}
