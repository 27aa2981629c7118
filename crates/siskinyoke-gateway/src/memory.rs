//! Limits the memory used by request bodies.

use std::rc::Rc;

use crate::shell::Shell;

/// Request bodies may use the memory limit divided by this; the rest is for connections and
/// responses.
const MEMORY_DIVISOR: u64 = 4;

/// Memory reserved for a request body, released on drop.
///
/// Bodies stay in memory while their requests are queued. Without a limit a few hundred large
/// bodies exhaust the memory of a small instance, whose crash breaks every request it serves.
#[derive(Debug)]
pub struct MemoryReservation {
    shell: Rc<Shell>,
    bytes: usize,
}

impl MemoryReservation {
    /// Reserves memory for a body, or returns `None` if the limit would be exceeded.
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
