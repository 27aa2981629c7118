//! An open-loop load driver that verifies each completion.

pub mod file;
pub mod plan;
pub mod report;
pub mod sender;

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use self::file::LoadFile;
use self::plan::PlannedRequest;
use self::report::Report;
use self::report::ReportLine;
use self::sender::Sender;
use crate::error::StandinError;

/// Stack size of the thread that sends one request, which needs only a fraction of it.
const SENDER_STACK_BYTES: usize = 256 * 1024;

/// Runs a load and returns its report, at the latest one request timeout after the last phase.
///
/// # Errors
///
/// [`StandinError::File`] if there is no target address.
pub fn run(load: &LoadFile) -> Result<Vec<ReportLine>, StandinError> {
    if load.addresses.is_empty() {
        return Err(StandinError::File("no target address is given".to_owned()));
    }
    let sender = Sender::new(load.timeout);
    let run = LoadRun {
        load,
        sender,
        in_flight: AtomicUsize::new(0),
        report: Mutex::default(),
    };
    run.send_all(&plan::plan(load));
    let report = run.report.into_inner();
    let report = report.unwrap_or_else(PoisonError::into_inner);
    let phases: Vec<&str> = load
        .phases
        .iter()
        .map(|phase| phase.name.as_str())
        .collect();
    let callers: Vec<&str> = load
        .callers
        .iter()
        .map(|caller| caller.name.as_str())
        .collect();
    Ok(report.lines(&phases, &callers))
}

struct LoadRun<'a> {
    load: &'a LoadFile,
    sender: Sender,
    in_flight: AtomicUsize,
    report: Mutex<Report>,
}

impl LoadRun<'_> {
    /// Sends each request when it is due and waits for all responses.
    fn send_all(&self, requests: &[PlannedRequest]) {
        let start = Instant::now();
        thread::scope(|scope| {
            for request in requests {
                let due = start + Duration::from_micros(request.due_micros);
                thread::sleep(due.saturating_duration_since(Instant::now()));
                if self.in_flight.load(Ordering::Relaxed) >= self.load.concurrency {
                    self.update_report(|report| report.add_unsent(request.phase, request.caller));
                    continue;
                }
                self.in_flight.fetch_add(1, Ordering::Relaxed);
                let thread = thread::Builder::new().stack_size(SENDER_STACK_BYTES);
                let spawned = thread.spawn_scoped(scope, move || self.send_one(request, due));
                if spawned.is_err() {
                    // The system cannot create more threads, which limits concurrency as well.
                    self.in_flight.fetch_sub(1, Ordering::Relaxed);
                    self.update_report(|report| report.add_unsent(request.phase, request.caller));
                }
            }
        });
    }

    fn send_one(&self, request: &PlannedRequest, due: Instant) {
        let index = request.address_draw % self.load.addresses.len();
        let address = &self.load.addresses[index];
        let profile = &self.load.callers[request.caller];
        let outcome = self.sender.send(address, profile, request, due);
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.update_report(|report| report.add_outcome(request.phase, request.caller, &outcome));
    }

    fn update_report(&self, change: impl FnOnce(&mut Report)) {
        let mut report = self.report.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut report);
    }
}
