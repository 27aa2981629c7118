//! Streams of sound endpoints that send nothing for longer than the stall timeout.

use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use siskinyoke_soak::Endpoint;
use siskinyoke_soak::Instance;
use siskinyoke_soak::Store;
use siskinyoke_soak::configuration;
use siskinyoke_soak::endpoint::silent::is_complete;
use siskinyoke_soak::instance::wait_until;

const INSTANCE_COUNT: usize = 3;
const ENDPOINT_COUNT: usize = 3;

/// One less than there are slots, so that the last free slot is wanted by many streams at once.
const CALLER_COUNT: usize = 11;

/// How long the callers send streams.
const LOAD_TIME: Duration = Duration::from_secs(20);

struct Fleet {
    _store: Store,
    endpoints: Vec<Endpoint>,
    instances: Vec<Instance>,
}

impl Fleet {
    fn start() -> Self {
        let store = Store::start();
        store.put("op/config", &configuration::text(3, "k1"));
        let endpoints: Vec<_> = (0..ENDPOINT_COUNT)
            .map(|it| Endpoint::start(&format!("e{it}")))
            .collect();
        for endpoint in &endpoints {
            let key = format!("servers/{}", endpoint.id);
            store.put(&key, &endpoint.entry("ready"));
        }
        let program = Path::new(env!("CARGO_BIN_EXE_siskinyoke-gateway"));
        let instances: Vec<_> = (0..INSTANCE_COUNT)
            .map(|it| Instance::start(program, &format!("i{it}"), store.address))
            .map(Instance::wait_until_ready)
            .collect();
        for instance in &instances {
            wait_until("the instance knows its peers and serves", || {
                let peers = instance.metric("what=\"peers\"");
                peers == Some(INSTANCE_COUNT as u64 - 1) && instance.serves_requests()
            });
        }
        Self {
            _store: store,
            endpoints,
            instances,
        }
    }

    fn request_count(&self) -> usize {
        self.endpoints.iter().map(|it| it.requests().len()).sum()
    }

    // Sends one stream after the other, and returns how many there were and what was received of
    // those that were not complete.
    fn call_until(&self, caller: usize, end: Instant) -> (usize, Vec<String>) {
        let instance = &self.instances[caller % INSTANCE_COUNT];
        let mut count = 0;
        let mut incomplete = Vec::new();
        while Instant::now() < end {
            let id = format!("c{caller}n{count}");
            let response = instance.call(&id, "/stream/silent", "", &id);
            count += 1;
            if !is_complete(&response) {
                incomplete.push(format!("{id}: {response}"));
            }
        }
        (count, incomplete)
    }
}

// Guards against sound streams that are cut because a slot for their retry was taken by others.
#[test]
fn a_stream_that_is_silent_for_a_while_is_never_cut() {
    let fleet = Fleet::start();
    let before = fleet.request_count();
    let end = Instant::now() + LOAD_TIME;
    let results: Vec<(usize, Vec<String>)> = thread::scope(|scope| {
        let fleet = &fleet;
        let callers: Vec<_> = (0..CALLER_COUNT)
            .map(|it| scope.spawn(move || fleet.call_until(it, end)))
            .collect();
        callers.into_iter().map(|it| it.join().unwrap()).collect()
    });
    let count: usize = results.iter().map(|it| it.0).sum();
    let incomplete: Vec<&String> = results.iter().flat_map(|it| &it.1).collect();
    let sent = fleet.request_count() - before;
    println!("{count} streams, {sent} sent, {} cut", incomplete.len());
    assert!(incomplete.is_empty(), "{count} streams: {incomplete:#?}");
}
