//! Confirms with the store that this instance's view of it is current.
//!
//! An open watch that stays silent looks the same whether nothing changes or the instance is cut
//! off, and a process that was suspended has not received what changed meanwhile. A decision that
//! rests on the absence of an entry therefore needs a linearizable read that starts after the
//! question arose: the view is current once it includes the revision that the read states.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::store::StoreError;
use siskinyoke_base::Revision;
use siskinyoke_dispatch::Core;

/// How long a confirmation may take, with the changes that the view lacks.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(600);

/// The shortest pause between two reads. Confirmations that are requested meanwhile share the next
/// one.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(25);

/// How much longer the pause is for each instance of the fleet, as all share the store.
const READ_INTERVAL_PER_INSTANCE: Duration = Duration::from_micros(250);

/// How often it is checked whether the view includes a revision.
const VIEW_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The result of the last read.
#[derive(Debug, Clone, Copy, Default)]
struct FinishedRead {
    number: u64,
    // `None` if it failed.
    revision: Option<Revision>,
}

/// Confirms with the store that this instance's view of it is current.
#[derive(Debug)]
pub struct ViewConfirmation {
    core: Rc<RefCell<Core>>,
    // The number of reads that were started.
    started: Cell<u64>,
    requested: Notify,
    finished: watch::Sender<FinishedRead>,
}

impl ViewConfirmation {
    /// Creates the confirmation of a view.
    pub fn new(core: Rc<RefCell<Core>>) -> Self {
        Self {
            core,
            started: Cell::new(0),
            requested: Notify::new(),
            finished: watch::Sender::default(),
        }
    }

    /// Reads the store's revision with `read` whenever that is requested, for as long as the process
    /// runs.
    pub async fn run(&self, mut read: impl AsyncFnMut() -> Result<Revision, StoreError>) {
        loop {
            self.requested.notified().await;
            let number = self.started.get() + 1;
            self.started.set(number);
            let result = read().await;
            let revision = result.ok();
            self.finished
                .send_replace(FinishedRead { number, revision });
            sleep(self.read_interval()).await;
        }
    }

    /// Returns whether the view includes everything that the store held when this was called.
    ///
    /// While no instance reaches the store, it does not wait for the store.
    pub async fn confirm(&self) -> bool {
        if !self.core.borrow().store_available() {
            return false;
        }
        let confirmed = timeout(CONFIRMATION_TIMEOUT, self.reach_latest()).await;
        confirmed.unwrap_or(false)
    }

    fn read_interval(&self) -> Duration {
        let others = self.core.borrow().other_instances().count();
        let instances = u32::try_from(others + 1).unwrap_or(u32::MAX);
        MIN_READ_INTERVAL.max(READ_INTERVAL_PER_INSTANCE.saturating_mul(instances))
    }

    // Waits until the view includes the revision of a read that starts from now on.
    async fn reach_latest(&self) -> bool {
        let next = self.started.get() + 1;
        let mut finished = self.finished.subscribe();
        self.requested.notify_one();
        let read = finished.wait_for(|it| it.number >= next).await;
        let Some(revision) = read.ok().and_then(|it| it.revision) else {
            return false;
        };
        while self.core.borrow().store_revision() < revision {
            sleep(VIEW_POLL_INTERVAL).await;
        }
        true
    }
}
