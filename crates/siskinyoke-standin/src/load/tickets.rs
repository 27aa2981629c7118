//! Keeps the tickets of a run and asks for new ones when they may no longer be used.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use super::file::LoadFile;
use super::shot::Sender;

/// The tickets of a run, by address and kind of work.
#[derive(Debug, Default)]
pub struct Tickets {
    held: Mutex<BTreeMap<(usize, usize), Held>>,
}

#[derive(Debug)]
struct Held {
    ticket: String,
    until: Instant,
}

impl Tickets {
    /// Returns a ticket for a kind of work at an address; none if the load wants none.
    pub fn take(
        &self,
        load: &LoadFile,
        sender: &Sender,
        place: usize,
        caller: usize,
    ) -> Option<String> {
        if !load.locate {
            return None;
        }
        // The lock is held while asking, so that a burst asks once and not once a request.
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if let Some(kept) = held.get(&(place, caller))
            && now < kept.until
        {
            return Some(kept.ticket.clone());
        }
        let key = load.callers[caller].key.as_deref();
        let (ticket, keep) = sender.locate(&load.addresses[place], key)?;
        let kept = Held {
            ticket: ticket.clone(),
            until: now + keep,
        };
        held.insert((place, caller), kept);
        Some(ticket)
    }
}
