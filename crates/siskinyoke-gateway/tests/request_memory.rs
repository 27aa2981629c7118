//! Request bodies that arrive at the same time at an instance with little memory.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;

use siskinyoke_soak::Endpoint;
use siskinyoke_soak::Instance;
use siskinyoke_soak::Store;
use siskinyoke_soak::configuration;
use siskinyoke_soak::instance::wait_until;

/// The memory limit, a quarter of which request bodies may use.
const MEMORY_MB: usize = 16;

const BODY_BYTES: usize = 512 * 1024;

/// As many bodies as would take more than twice the memory for them.
const CALLER_COUNT: usize = 20;

/// Size of the chunks in which bodies are sent.
const CHUNK_BYTES: usize = 1024;

struct Setup {
    _store: Store,
    _endpoint: Endpoint,
    instance: Instance,
}

impl Setup {
    fn start() -> Self {
        let store = Store::start();
        let configuration = configuration::text_with_body_limit(3, "k1", BODY_BYTES);
        store.put("op/config", &configuration);
        let endpoint = Endpoint::start("e1");
        store.put("servers/e1", &endpoint.entry("ready"));
        let program = Path::new(env!("CARGO_BIN_EXE_siskinyoke-gateway"));
        let mut instance = Instance::start(program, "i1", store.address).wait_until_ready();
        let memory = format!("\"memory_mb\": {MEMORY_MB}");
        instance.edit_settings("\"memory_mb\": 110", &memory);
        instance.kill();
        instance.restart();
        wait_until("the instance serves", || instance.serves_requests());
        Self {
            _store: store,
            _endpoint: endpoint,
            instance,
        }
    }

    // Sends a request but for the end of its body.
    fn begin(&self, number: usize) -> TcpStream {
        let mut stream = self.instance.connect();
        let head = format!(
            "POST /safe/a HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer k1\r\n\
             siskinyoke-request-id: r{number}\r\nconnection: close\r\n\
             transfer-encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).unwrap();
        let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "x".repeat(CHUNK_BYTES));
        for _ in 0..BODY_BYTES / CHUNK_BYTES {
            // The request may have been refused already.
            if stream.write_all(chunk.as_bytes()).is_err() {
                break;
            }
        }
        stream
    }
}

// Returns the status line of the response to a request whose body is ended now.
fn finish(mut stream: TcpStream) -> String {
    drop(stream.write_all(b"0\r\n\r\n"));
    let mut bytes = Vec::new();
    // The connection of a refused request may be reset after the response.
    drop(stream.read_to_end(&mut bytes));
    let text = String::from_utf8_lossy(&bytes);
    text.lines().next().unwrap_or_default().to_owned()
}

// Guards against bodies in chunks that are not counted while they arrive: they exhaust the memory
// of the process, whose end interrupts every request that it serves.
#[test]
fn bodies_in_chunks_beyond_the_memory_for_them_are_refused_while_they_arrive() {
    let setup = Setup::start();
    let streams: Vec<_> = (0..CALLER_COUNT).map(|it| setup.begin(it)).collect();
    let fitting = MEMORY_MB * 1024 * 1024 / 4 / BODY_BYTES;
    let statuses: Vec<_> = streams.into_iter().map(finish).collect();
    let count = |status: &str| statuses.iter().filter(|it| it.contains(status)).count();
    assert!((1..=fitting).contains(&count(" 200 ")), "{statuses:?}");
    assert_eq!(
        count(" 200 ") + count(" 503 "),
        CALLER_COUNT,
        "{statuses:?}"
    );
    assert!(setup.instance.serves_requests());
}
