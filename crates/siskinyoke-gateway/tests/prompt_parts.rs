//! Requests that share a part of their prompts and crash each endpoint that begins to respond.

use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use siskinyoke_soak::Endpoint;
use siskinyoke_soak::Instance;
use siskinyoke_soak::Store;
use siskinyoke_soak::configuration;
use siskinyoke_soak::endpoint::crash::CrashResponse;
use siskinyoke_soak::poison::parts_header;

/// The part that all requests share, and the one that crashes endpoints.
const FIRST_PART: &str = "f1457";
const POISONED_PART: &str = "bad0";

const INSTANCE_COUNT: usize = 3;
const ENDPOINT_COUNT: usize = 10;
const SOUND_CALLER_COUNT: usize = 20;
const POISONED_CALLER_COUNT: usize = 4;

/// How long only sound requests are sent.
const SOUND_TIME: Duration = Duration::from_secs(4);

/// How long requests with the poisoned part are sent after that.
const POISONED_TIME: Duration = Duration::from_secs(16);

/// The pause of a caller after each request.
const PAUSE: Duration = Duration::from_millis(30);

/// Time within which the instances have to know of crashes.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// The number of crashes that have to be known, and of requests that may reach endpoints after that.
const KNOWN_CRASHES: usize = 5;
const MAX_LATE_REQUESTS: usize = 3;

struct SoundRequest {
    sent_at: Instant,
    begun: bool,
}

struct Setup {
    store: Store,
    endpoints: Vec<Endpoint>,
    instances: Vec<Instance>,
    stop: AtomicBool,
    sound: Mutex<Vec<SoundRequest>>,
}

impl Setup {
    // Starts a fleet; `unmarked` says of an endpoint whether it does not mark the ends of responses.
    fn start(unmarked: impl Fn(usize) -> bool) -> Self {
        let store = Store::start();
        store.put("op/config", &configuration::text(3, "k1"));
        let endpoints = (0..ENDPOINT_COUNT).map(|it| Endpoint::start(&format!("e{it}")));
        let endpoints: Vec<_> = endpoints.collect();
        for (index, endpoint) in endpoints.iter().enumerate() {
            let response = if unmarked(index) {
                CrashResponse::Unmarked
            } else {
                CrashResponse::Chunked
            };
            endpoint.set_poisoned_parts(&[POISONED_PART], response);
            register(&store, endpoint);
        }
        let program = Path::new(env!("CARGO_BIN_EXE_siskinyoke-gateway"));
        let instances = (0..INSTANCE_COUNT)
            .map(|it| Instance::start(program, &format!("i{it}"), store.address))
            .map(Instance::wait_until_ready);
        let instances = instances.collect();
        Self {
            store,
            endpoints,
            instances,
            stop: AtomicBool::new(false),
            sound: Mutex::default(),
        }
    }

    fn run(&self) {
        thread::scope(|scope| {
            scope.spawn(|| self.register_returned());
            for caller in 0..SOUND_CALLER_COUNT {
                scope.spawn(move || self.send_sound(caller));
            }
            thread::sleep(SOUND_TIME);
            for caller in 0..POISONED_CALLER_COUNT {
                scope.spawn(move || self.send_poisoned(caller));
            }
            thread::sleep(POISONED_TIME);
            self.stop.store(true, Ordering::Relaxed);
        });
    }

    fn is_running(&self) -> bool {
        !self.stop.load(Ordering::Relaxed)
    }

    fn register_returned(&self) {
        while self.is_running() {
            for endpoint in self.endpoints.iter().filter(|it| it.take_return()) {
                register(&self.store, endpoint);
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn send_sound(&self, caller: usize) {
        for number in 0.. {
            if !self.is_running() {
                return;
            }
            let sent_at = Instant::now();
            let begun = self.call(&format!("sound{caller}n{number}"), &[FIRST_PART]);
            let request = SoundRequest { sent_at, begun };
            self.sound.lock().unwrap().push(request);
            thread::sleep(PAUSE);
        }
    }

    fn send_poisoned(&self, caller: usize) {
        for number in 0.. {
            if !self.is_running() {
                return;
            }
            let id = format!("poisoned{caller}n{number}");
            self.call(&id, &[FIRST_PART, POISONED_PART]);
            thread::sleep(10 * PAUSE);
        }
    }

    // Sends a request whose body and last part are its own, and returns whether its response began.
    fn call(&self, id: &str, shared: &[&str]) -> bool {
        let number = id.bytes().map(usize::from).sum::<usize>();
        let instance = &self.instances[number % self.instances.len()];
        let headers = parts_header(shared, id);
        let response = instance.call(id, "/stream/versioned", &headers, id);
        response.starts_with("HTTP/1.1 200") && response.contains("data: 1\n")
    }

    // Returns when the first crashes happened, as many as have to be known.
    fn first_crashes(&self) -> Vec<Instant> {
        let times = self.endpoints.iter().flat_map(Endpoint::crash_times);
        let mut times: Vec<_> = times.collect();
        times.sort_unstable();
        times.truncate(KNOWN_CRASHES);
        times
    }

    // Returns how long after a time requests with the poisoned part reached endpoints, in ms.
    fn poisoned_since(&self, time: Instant) -> Vec<u128> {
        let requests = self.endpoints.iter().flat_map(Endpoint::requests);
        let poisoned = requests.filter(|it| it.prompt_parts().any(|part| part == POISONED_PART));
        let times = poisoned.filter_map(|it| it.received_at?.checked_duration_since(time));
        let mut times: Vec<_> = times.map(|it| it.as_millis()).collect();
        times.sort_unstable();
        times
    }

    // Returns how many sound requests that were sent in a period began, and how many there were.
    fn sound_requests(&self, is_included: impl Fn(Instant) -> bool) -> (usize, usize) {
        let sound = self.sound.lock().unwrap();
        let included = sound.iter().filter(|it| is_included(it.sent_at));
        let begun = included.clone().filter(|it| it.begun).count();
        (begun, included.count())
    }
}

fn register(store: &Store, endpoint: &Endpoint) {
    store.put(
        &format!("servers/{}", endpoint.id),
        &endpoint.entry("ready"),
    );
}

fn check_fleet(unmarked: impl Fn(usize) -> bool) {
    let setup = Setup::start(unmarked);
    setup.run();
    let crashes = setup.first_crashes();
    let (Some(first), Some(last)) = (crashes.first(), crashes.last()) else {
        panic!("no endpoint crashed");
    };
    let settled = *last + 2 * SETTLING_TIME;
    let before = setup.sound_requests(|at| at + Duration::from_secs(1) < *first);
    let after = setup.sound_requests(|at| at > settled);
    let late = setup.poisoned_since(*last + SETTLING_TIME).len();
    let text = format!(
        "{late} requests with the part too late; all of them came {:?} ms after the first crash, \
         the crashes {:?} ms; sound requests {after:?} after {before:?}",
        setup.poisoned_since(*first),
        crashes
            .iter()
            .map(|it| it.duration_since(*first).as_millis())
            .collect::<Vec<_>>(),
    );
    println!("{text}");
    assert!(before.0 > 0, "{text}");
    assert!(after.1 > 0, "{text}");
    assert!(
        crashes.len() < KNOWN_CRASHES || late <= MAX_LATE_REQUESTS,
        "{text}"
    );
    assert!(2 * after.0 * before.1 >= before.0 * after.1, "{text}");
}

// Guards against requests that share nothing but a part of their prompts and crash one endpoint
// after the other.
#[test]
fn a_part_that_crashes_endpoints_is_quarantined() {
    check_fleet(|_| false);
}

// As above, with responses of which the connection's end alone does not tell that they broke off.
#[test]
fn a_part_that_crashes_endpoints_with_unmarked_responses_is_quarantined() {
    check_fleet(|index| index % 2 == 0);
}
