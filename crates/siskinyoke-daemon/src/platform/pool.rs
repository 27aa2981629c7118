//! Threads that carry the core's requests to the platform.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::mpsc;
use std::thread;

use super::PlatformService;
use siskinyoke_control::OpId;
use siskinyoke_control::PlatformError;
use siskinyoke_control::PlatformRequest;
use siskinyoke_control::Reply;

/// Threads for ordinary calls; answers take milliseconds, so few are enough.
const CALL_THREADS: usize = 4;

/// Threads for watches, each of which waits for many seconds.
const WATCH_THREADS: usize = 2;

/// Calls that may wait for a thread; past it the service is too slow to ask for more.
const WAITING: usize = 256;

/// Makes an adapter for each thread.
pub type MakeService = Arc<dyn Fn() -> Box<dyn PlatformService> + Send + Sync>;

/// Takes the platform's answers; called on the pool's threads.
pub type ReplySink = Arc<dyn Fn(OpId, Reply) + Send + Sync>;

/// Threads that carry the core's requests to the platform.
pub struct PlatformPool {
    calls: mpsc::SyncSender<Job>,
    watches: mpsc::SyncSender<Job>,
    sink: ReplySink,
}

type Job = (OpId, PlatformRequest);

impl PlatformPool {
    /// Starts the threads; they end when the pool is dropped and their calls are answered.
    pub fn start(make: &MakeService, sink: ReplySink) -> Self {
        let calls = start_threads("platform", CALL_THREADS, make, &sink);
        let watches = start_threads("watch", WATCH_THREADS, make, &sink);
        Self {
            calls,
            watches,
            sink,
        }
    }

    /// Carries a request; its answer goes to the sink.
    pub fn call(&self, op: OpId, request: PlatformRequest) {
        let watch = matches!(request, PlatformRequest::Watch { .. });
        let queue = if watch { &self.watches } else { &self.calls };
        if queue.try_send((op, request)).is_err() {
            let detail = String::from("too many calls wait already");
            (self.sink)(op, Err(PlatformError::Down(detail)));
        }
    }
}

fn start_threads(
    name: &str,
    count: usize,
    make: &MakeService,
    sink: &ReplySink,
) -> mpsc::SyncSender<Job> {
    let (sender, receiver) = mpsc::sync_channel::<Job>(WAITING);
    let receiver = Arc::new(Mutex::new(receiver));
    for _ in 0..count {
        let receiver = receiver.clone();
        let sink = sink.clone();
        let mut service = make();
        let started = thread::Builder::new().name(name.to_owned()).spawn(move || {
            loop {
                let next = receiver
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .recv();
                let Ok((op, request)) = next else { return };
                let reply = service.call(&request);
                sink(op, reply);
            }
        });
        if let Err(err) = started {
            log::error!("a thread for the platform cannot be started: {err}");
        }
    }
    sender
}
