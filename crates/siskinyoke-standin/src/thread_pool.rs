//! A pool of reusable threads.
//!
//! A proxied connection uses several threads. Starting them for each connection takes nearly as
//! long as a short call, and would be measured as latency of the system under test.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::sync::mpsc;
use std::sync::mpsc::Sender;
use std::thread;

/// A function to run on its own thread.
type Job = Box<dyn FnOnce() + Send>;

/// A pool of threads without a size limit. Idle threads end when it is dropped.
#[derive(Default)]
pub struct ThreadPool {
    idle_threads: Mutex<Vec<Sender<Job>>>,
}

impl ThreadPool {
    /// Runs a job at once, on an idle thread or on a new one.
    ///
    /// Each job is passed to a thread that is known to be idle, so no job is queued behind another
    /// one, which may last as long as a stream.
    pub fn run(self: &Arc<Self>, job: impl FnOnce() + Send + 'static) {
        let mut job: Job = Box::new(job);
        let idle = self.lock().pop();
        if let Some(worker) = idle {
            match worker.send(job) {
                Ok(()) => return,
                Err(returned) => job = returned.0,
            }
        }
        let pool = Arc::downgrade(self);
        thread::spawn(move || run_jobs(&pool, job));
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Sender<Job>>> {
        self.idle_threads
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs a first job, then further jobs until the pool is dropped.
fn run_jobs(pool: &Weak<ThreadPool>, first: Job) {
    let mut job = first;
    loop {
        job();
        let Some(pool) = pool.upgrade() else {
            return;
        };
        let (sender, receiver) = mpsc::channel();
        pool.lock().push(sender);
        drop(pool);
        let Ok(next) = receiver.recv() else {
            return;
        };
        job = next;
    }
}
