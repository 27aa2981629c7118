//! One or two instances, their endpoints, and what is checked of each instance.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use siskinyoke_soak::Endpoint;
use siskinyoke_soak::Instance;
use siskinyoke_soak::ProcessUsage;
use siskinyoke_soak::Proxy;
use siskinyoke_soak::Store;
use siskinyoke_soak::configuration;
use siskinyoke_soak::instance::wait_until;
use siskinyoke_soak::process_usage::limit_descriptors;
use siskinyoke_soak::process_usage::raise_descriptor_limit;
use siskinyoke_soak::proxy::Cut;

/// The memory limit in the settings.
pub const MEMORY_MB: u64 = 64;

/// How many descriptors a process may open where they are limited.
pub const DESCRIPTOR_LIMIT: u64 = 200;

/// How many of these clients may take. The others are for endpoints, the store, peers and files.
pub const MAX_DESCRIPTORS: usize = 150;

/// How long the slow clients stay connected before anything is checked.
pub const HOLD_TIME: Duration = Duration::from_secs(8);

/// How long an ordinary request is repeated until it is answered.
const ORDINARY_TIMEOUT: Duration = Duration::from_secs(30);

const ENDPOINT_COUNT: usize = 4;

/// As many slots that no request waits for another one's.
const SLOT_COUNT: usize = 64;

/// How often descriptors are counted.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

static TURN: Mutex<()> = Mutex::new(());

/// One or two instances and their endpoints. Only one test has them at a time.
pub struct Fixture {
    pub store: Store,
    pub endpoints: Vec<Endpoint>,
    pub proxies: Vec<Proxy>,
    pub instances: Vec<Instance>,
    _turn: MutexGuard<'static, ()>,
}

impl Fixture {
    pub fn start() -> Self {
        Self::start_with(1, 0)
    }

    /// Starts a number of instances with a number of routes that no request uses.
    pub fn start_with(instances: usize, routes: usize) -> Self {
        let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
        raise_descriptor_limit();
        let store = Store::start();
        store.put(
            "op/config",
            &configuration::text_with_routes(3, "k1", routes),
        );
        let names = (0..ENDPOINT_COUNT).map(|it| format!("e{it}"));
        let endpoints: Vec<_> = names.map(|it| Endpoint::start(&it)).collect();
        let behind_proxies = if instances > 1 { ENDPOINT_COUNT } else { 0 };
        let proxies: Vec<_> = (endpoints[..behind_proxies].iter())
            .map(|it| Proxy::start(it.address))
            .collect();
        for (number, endpoint) in endpoints.iter().enumerate() {
            let address = proxies
                .get(number)
                .map_or(endpoint.address, |it| it.address);
            let entry = endpoint.entry_at(address, "ready");
            let slots = format!("\"Slots\":{SLOT_COUNT}");
            let entry = entry.replacen("\"Slots\":4", &slots, 1);
            assert!(entry.contains(&slots), "the slots are not set");
            store.put(&format!("servers/{}", endpoint.id), &entry);
        }
        let program = Path::new(env!("CARGO_BIN_EXE_siskinyoke-gateway"));
        let instances: Vec<_> = (0..instances)
            .map(|it| start_instance(program, &format!("i{it}"), store.address))
            .collect();
        for instance in &instances {
            wait_until("the instance serves", || instance.serves_requests());
        }
        Self {
            store,
            endpoints,
            proxies,
            instances,
            _turn: turn,
        }
    }

    pub fn instance(&self) -> &Instance {
        &self.instances[0]
    }

    /// Limits the descriptors of each instance.
    pub fn limit_descriptors(&self) {
        for instance in &self.instances {
            limit_descriptors(instance.process_id(), DESCRIPTOR_LIMIT);
        }
    }

    /// Cuts the first of several instances off from all endpoints, and waits until it has noticed.
    pub fn lose_links(&self) {
        let instance = self.instance();
        for proxy in &self.proxies {
            proxy.set_cut(instance.caller_address.ip(), Some(Cut::Reset));
        }
        wait_until("the links are lost", || {
            instance.call("early", "/safe/a", "", "");
            instance.metric("what=\"lost_links\"") == Some(1)
        });
    }

    /// Waits, and checks that no instance opens more descriptors than clients may take.
    pub fn hold_within_descriptors(&self, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            self.check_descriptors();
            thread::sleep(SAMPLE_INTERVAL);
        }
    }

    pub fn check_descriptors(&self) {
        for instance in &self.instances {
            let count = usage(instance).descriptors;
            assert!(count <= MAX_DESCRIPTORS, "{count} descriptors are open");
        }
    }

    /// Checks that each instance lives and has stayed within its memory, and that the first one
    /// answers an ordinary request.
    pub fn check(&mut self) {
        for instance in &mut self.instances {
            assert!(instance.is_running(), "the process has ended");
            let peak = usage(instance).peak_kib;
            println!("peak {peak} KiB of {}", MEMORY_MB * 1024);
            assert!(peak <= MEMORY_MB * 1024, "{peak} KiB were held");
        }
        let address = self.instance().caller_address;
        assert!(
            serves_ordinary_request(address),
            "no ordinary request is answered"
        );
    }
}

fn start_instance(program: &Path, name: &str, store: SocketAddr) -> Instance {
    let mut instance = Instance::start(program, name, store).wait_until_ready();
    let memory = format!("\"memory_mb\": {MEMORY_MB}");
    instance.edit_settings("\"memory_mb\": 110", &memory);
    // What was held before does not count.
    instance.kill();
    instance.restart();
    instance
}

fn usage(instance: &Instance) -> ProcessUsage {
    ProcessUsage::of(instance.process_id()).expect("the process has ended")
}

/// Returns the head of a request without a body.
pub fn request(number: usize, path: &str) -> Vec<u8> {
    let head = format!(
        "GET {path} HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer k1\r\n\
         siskinyoke-request-id: r{number}\r\n\r\n"
    );
    head.into_bytes()
}

// Repeats an ordinary request over new connections until it is answered.
fn serves_ordinary_request(address: SocketAddr) -> bool {
    let end = Instant::now() + ORDINARY_TIMEOUT;
    while Instant::now() < end {
        if ordinary_response(address).is_ok_and(|it| it.starts_with("HTTP/1.1 200")) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

fn ordinary_response(address: SocketAddr) -> std::io::Result<String> {
    let timeout = Duration::from_secs(5);
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(&request(0, "/safe/a"))?;
    let mut response = vec![0; 1024];
    let length = stream.read(&mut response)?;
    Ok(String::from_utf8_lossy(&response[..length]).into_owned())
}
