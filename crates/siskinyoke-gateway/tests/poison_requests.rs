//! Requests that crash every endpoint of a service, and come again.

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
use siskinyoke_soak::instance::wait_until;

const INSTANCE_COUNT: usize = 3;
const ENDPOINT_COUNT: usize = 3;

/// The path of a request that may be repeated and crashes endpoints, a tenth of a second after they
/// begin to run it.
const POISON_PATH: &str = "/safe/poison-brief";

/// The paths of such requests of other kinds: a stream, and one that is sent to one endpoint only.
const POISON_STREAM_PATH: &str = "/stream/poison-brief";
const POISON_UNSAFE_PATH: &str = "/once/poison-brief";

/// How long only sound requests are sent.
const SOUND_TIME: Duration = Duration::from_secs(2);

/// How long the request that crashes endpoints is sent after that.
const POISON_TIME: Duration = Duration::from_secs(14);

/// How long it is sent if its callers learn of the crashes by their timeout only.
const SILENT_POISON_TIME: Duration = Duration::from_secs(40);

/// The pause of a caller after each request.
const PAUSE: Duration = Duration::from_millis(50);

/// The pause of a caller of the request that crashes endpoints.
const POISON_PAUSE: Duration = Duration::from_millis(300);

/// How long an endpoint is down after a crash: longer than the settling time, so that copies of the
/// request wait for it.
const DOWN_TIME: Duration = Duration::from_secs(4);

/// How long the entry of a crashed endpoint stays beside that of its next start.
const ENTRY_EXPIRY: Duration = Duration::from_millis(800);

/// The number of crashes that all instances have to know after the settling time, and of requests
/// that may reach endpoints after that.
const KNOWN_CRASHES: usize = 3;
const SETTLING_TIME: Duration = Duration::from_secs(3);
const MAX_LATE_REQUESTS: usize = 3;

struct Setup {
    store: Store,
    endpoints: Vec<Endpoint>,
    instances: Vec<Instance>,
    poison_path: &'static str,
    stop: AtomicBool,
    // When each sound request was sent, and whether it was served.
    sound: Mutex<Vec<(Instant, bool)>>,
}

impl Setup {
    fn start(response: CrashResponse, poison_path: &'static str) -> Self {
        let store = Store::start();
        store.put("op/config", &configuration::text(3, "k1"));
        let endpoints = (0..ENDPOINT_COUNT).map(|it| Endpoint::start(&format!("e{it}")));
        let endpoints: Vec<_> = endpoints.collect();
        for endpoint in &endpoints {
            endpoint.set_poisoned_parts(&[], response);
            endpoint.set_down_time(DOWN_TIME);
            endpoint.use_start_ids();
            store.put(&entry_key(endpoint, 0), &endpoint.entry("ready"));
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
            poison_path,
            stop: AtomicBool::new(false),
            sound: Mutex::default(),
        }
    }

    fn run(&self, poison_callers: usize, sound_callers: usize, poison_time: Duration) {
        thread::scope(|scope| {
            for endpoint in &self.endpoints {
                scope.spawn(|| self.register_restarts(endpoint));
            }
            for caller in 0..sound_callers {
                scope.spawn(move || self.send_sound(caller));
            }
            thread::sleep(SOUND_TIME);
            for caller in 0..poison_callers {
                scope.spawn(move || self.send_poison(caller));
            }
            thread::sleep(poison_time);
            self.stop.store(true, Ordering::Relaxed);
        });
    }

    fn is_running(&self) -> bool {
        !self.stop.load(Ordering::Relaxed)
    }

    // Writes an entry for each start of an endpoint, and removes that of the start before later.
    fn register_restarts(&self, endpoint: &Endpoint) {
        let mut restarts = 0;
        while self.is_running() {
            thread::sleep(Duration::from_millis(10));
            if endpoint.take_return() {
                restarts += 1;
                let key = entry_key(endpoint, restarts);
                self.store.put(&key, &endpoint.entry("ready"));
                thread::sleep(ENTRY_EXPIRY);
                self.store.remove(&entry_key(endpoint, restarts - 1));
            }
        }
    }

    fn send_sound(&self, caller: usize) {
        for number in 0.. {
            if !self.is_running() {
                return;
            }
            let id = format!("sound{caller}n{number}");
            let sent_at = Instant::now();
            let instance = &self.instances[number % self.instances.len()];
            let response = instance.call(&id, "/safe/a", "", &id);
            let served = response.starts_with("HTTP/1.1 200");
            self.sound.lock().unwrap().push((sent_at, served));
            thread::sleep(PAUSE);
        }
    }

    fn send_poison(&self, caller: usize) {
        for number in 0.. {
            if !self.is_running() {
                return;
            }
            let id = format!("poison{caller}n{number}");
            let instance = &self.instances[(caller + number) % self.instances.len()];
            instance.call(&id, self.poison_path, "", "same");
            thread::sleep(POISON_PAUSE);
        }
    }

    fn crash_times(&self) -> Vec<Instant> {
        let times = self.endpoints.iter().flat_map(Endpoint::crash_times);
        let mut times: Vec<_> = times.collect();
        times.sort_unstable();
        times
    }

    // Returns how many poison requests reached endpoints after a time.
    fn poison_count(&self, since: Instant) -> usize {
        let requests = self.endpoints.iter().flat_map(Endpoint::requests);
        let poison = requests.filter(|it| it.request_line.contains(self.poison_path));
        poison
            .filter(|it| it.received_at.is_some_and(|at| at > since))
            .count()
    }

    // Returns how many sound requests that were sent after a time were served, and how many there
    // were.
    fn sound_count(&self, since: Instant) -> (usize, usize) {
        let sound = self.sound.lock().unwrap();
        let sent = sound.iter().filter(|it| it.0 > since);
        (sent.clone().filter(|it| it.1).count(), sent.count())
    }
}

// Returns the key of the entry of one start: each start registers under an ID of its own.
fn entry_key(endpoint: &Endpoint, restarts: usize) -> String {
    format!("servers/{}-{restarts}", endpoint.id)
}

fn check(response: CrashResponse, poison_callers: usize, sound_callers: usize) {
    check_path(response, POISON_PATH, poison_callers, sound_callers);
}

fn check_path(
    response: CrashResponse,
    poison_path: &'static str,
    poison_callers: usize,
    sound_callers: usize,
) {
    let setup = Setup::start(response, poison_path);
    let poison_time = if response == CrashResponse::Silence {
        SILENT_POISON_TIME
    } else {
        POISON_TIME
    };
    setup.run(poison_callers, sound_callers, poison_time);
    let crashes = setup.crash_times();
    let Some(last) = crashes.get(KNOWN_CRASHES - 1).or(crashes.last()) else {
        panic!("no endpoint crashed");
    };
    let settled = *last + SETTLING_TIME;
    let late = setup.poison_count(settled);
    let sound = setup.sound_count(settled + SETTLING_TIME);
    let times = crashes
        .iter()
        .map(|it| it.duration_since(crashes[0]).as_millis());
    let text = format!(
        "{response:?}, {poison_path}, {poison_callers} and {sound_callers} callers: {late} late requests, crashes at {:?} ms, \
         sound requests served later: {sound:?}",
        times.collect::<Vec<_>>()
    );
    println!("{text}");
    assert!(
        crashes.len() < KNOWN_CRASHES || late <= MAX_LATE_REQUESTS,
        "{text}"
    );
    assert!(2 * sound.0 >= sound.1, "{text}");
}

// Guards against a request that crashes all endpoints of a service being sent to each new start.
#[test]
fn a_request_that_crashes_all_endpoints_is_quarantined_when_they_return() {
    check(CrashResponse::Nothing, 4, 0);
    check(CrashResponse::Nothing, 4, 6);
}

// Guards against crashes that follow an unmarked response and blame no request.
#[test]
fn a_request_that_crashes_endpoints_after_an_unmarked_response_is_quarantined() {
    check(CrashResponse::Unmarked, 1, 6);
    check(CrashResponse::Unmarked, 4, 6);
}

// Guards against crashes that follow an error response and blame no request.
#[test]
fn a_request_that_crashes_endpoints_after_an_error_response_is_quarantined() {
    check(CrashResponse::ServerError, 1, 6);
    check(CrashResponse::ServerError, 4, 6);
}

// Guards against endpoints that fall silent under a request and blame none.
#[test]
fn a_request_under_which_endpoints_fall_silent_is_quarantined() {
    thread::scope(|scope| {
        for (path, poison_callers) in [
            (POISON_PATH, 1),
            (POISON_PATH, 4),
            (POISON_STREAM_PATH, 1),
            (POISON_UNSAFE_PATH, 1),
        ] {
            scope.spawn(move || check_path(CrashResponse::Silence, path, poison_callers, 6));
        }
    });
}

// Guards against a kill of all instances that lets a request in quarantine through again.
#[test]
fn a_request_stays_in_quarantine_after_a_kill_of_all_instances() {
    let mut setup = Setup::start(CrashResponse::Nothing, POISON_PATH);
    setup.run(1, 6, SETTLING_TIME);
    let before = setup.crash_times().len();
    assert!(before > 1, "{before} crashes");
    for instance in &mut setup.instances {
        instance.kill();
    }
    thread::sleep(DOWN_TIME);
    for instance in &mut setup.instances {
        instance.restart();
    }
    for instance in &setup.instances {
        wait_until("the instance serves", || instance.serves_requests());
    }
    setup.stop.store(false, Ordering::Relaxed);
    let killed_at = Instant::now();
    setup.run(1, 6, SETTLING_TIME);
    let late = setup.poison_count(killed_at);
    let sound = setup.sound_count(killed_at + SETTLING_TIME);
    println!("{before} crashes before, {late} requests after, sound {sound:?}");
    assert_eq!(late, 0);
    assert!(2 * sound.0 >= sound.1, "{sound:?}");
}
