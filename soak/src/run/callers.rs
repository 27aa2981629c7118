//! The callers of a run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread;
use std::thread::JoinHandle;

use crate::checker::Checker;
use crate::client;
use crate::poison;
use crate::run::Fleet;
use crate::stream;
use crate::stream::StreamCallers;
use crate::unmarked;

/// The number of caller threads.
const CALLER_COUNT: u64 = 6;

/// The number of threads of callers that break streams off and take them up.
const STREAM_CALLER_COUNT: u64 = 2;

/// The number of threads of callers that take streams up while versions of their service come and
/// go.
const CHAT_CALLER_COUNT: u64 = 12;

/// The number of threads of callers whose requests crash endpoints.
const POISONED_CALLER_COUNT: u64 = 2;

impl Fleet {
    // Starts all callers, which send requests to random instances until `stop` is set.
    pub(super) fn start_callers(
        &self,
        seed: u64,
        checker: &Arc<Checker>,
        stop: &Arc<AtomicBool>,
    ) -> Vec<JoinHandle<()>> {
        let instances = self.instances.iter();
        let addresses: Vec<SocketAddr> = instances.map(|it| it.caller_address).collect();
        let start_stream_caller = |caller, kind, active: Arc<AtomicBool>| {
            let (checker, stop, addresses) = (checker.clone(), stop.clone(), addresses.clone());
            thread::spawn(move || {
                stream::run_caller(seed, caller, kind, &addresses, &checker, &active, &stop);
            })
        };
        let callers = (0..CALLER_COUNT).map(|caller| {
            let (checker, stop, addresses) = (checker.clone(), stop.clone(), addresses.clone());
            let failures = self.endpoint_failures.clone();
            thread::spawn(move || {
                client::run_caller(seed, caller, &addresses, &checker, &failures, &stop);
            })
        });
        let stream_callers = (0..STREAM_CALLER_COUNT).map(|caller| {
            let always = Arc::new(AtomicBool::new(true));
            start_stream_caller(caller, StreamCallers::SHARED_SERVICE, always)
        });
        let chat_callers = (0..CHAT_CALLER_COUNT).map(|caller| {
            let caller = STREAM_CALLER_COUNT + caller;
            start_stream_caller(caller, StreamCallers::CHAT, self.chat.active.clone())
        });
        let unmarked_caller = {
            let (checker, stop, addresses) = (checker.clone(), stop.clone(), addresses.clone());
            thread::spawn(move || unmarked::run_caller(seed, &addresses, &checker, &stop))
        };
        let poisoned_callers = (0..POISONED_CALLER_COUNT).map(|caller| {
            let (poisoned, stop) = (self.poisoned.clone(), stop.clone());
            let addresses = addresses.clone();
            thread::spawn(move || poison::run_caller(seed, caller, &addresses, &poisoned, &stop))
        });
        callers
            .chain(stream_callers)
            .chain(chat_callers)
            .chain([unmarked_caller])
            .chain(poisoned_callers)
            .collect()
    }
}
