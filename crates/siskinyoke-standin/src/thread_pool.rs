//! Threads that are used again.
//!
//! A connection through the gate takes several threads. Making them anew for each takes nearly as
//! long as a short call itself, which would be taken for the system's own delay.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::sync::mpsc;
use std::sync::mpsc::Sender;
use std::thread;

/// Something to be done on a thread of its own.
type Job = Box<dyn FnOnce() + Send>;

/// Threads that wait for something to do; they end when this is dropped.
#[derive(Default)]
pub struct ThreadPool {
    idle_threads: Mutex<Vec<Sender<Job>>>,
}

impl ThreadPool {
    /// Runs a job at once, on a thread that waits or on a new one.
    ///
    /// Each job is handed to one thread that is known to wait for it, so none is ever queued
    /// behind another that may take as long as a stream.
    pub fn run(self: &Arc<Self>, job: impl FnOnce() + Send + 'static) {
        let mut job: Job = Box::new(job);
        let waiting = self.lock().pop();
        if let Some(worker) = waiting {
            match worker.send(job) {
                Ok(()) => return,
                Err(returned) => job = returned.0,
            }
        }
        let workers = Arc::downgrade(self);
        thread::spawn(move || run_jobs(&workers, job));
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Sender<Job>>> {
        self.idle_threads
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn run_jobs(workers: &Weak<ThreadPool>, first: Job) {
    let mut job = first;
    loop {
        job();
        let Some(strong) = workers.upgrade() else {
            return;
        };
        let (sender, receiver) = mpsc::channel();
        strong.lock().push(sender);
        drop(strong);
        let Ok(next) = receiver.recv() else {
            return;
        };
        job = next;
    }
}
