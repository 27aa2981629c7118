//! One controller behind the administration API, on a socket of its own.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fake_platform::FakePlatform;
use crate::fake_platform::Mishap;
use siskinyoke_base::Millis;
use siskinyoke_control::Action;
use siskinyoke_control::CallId;
use siskinyoke_control::Context;
use siskinyoke_control::Controller;
use siskinyoke_control::Outbox;
use siskinyoke_control::configuration::ConfigurationController;
use siskinyoke_control::configuration::Event;
use siskinyoke_control::configuration::Outcome;
use siskinyoke_control::configuration::admin::AdminAnswer;
use siskinyoke_control::configuration::admin::AdminCall;
use siskinyoke_control::configuration::admin::AdminRequest;
use siskinyoke_control::configuration::admin::route;
use siskinyoke_control::configuration::key_digest;

/// How long an answer is waited for, in the controller's virtual time.
const ANSWER_LIMIT: Millis = Millis::from_secs(60);

/// A server for one operator after the other.
pub struct Server {
    pub address: String,
    core: Arc<Mutex<Core>>,
}

/// The controller with its service, in virtual time.
struct Core {
    controller: ConfigurationController,
    platform: FakePlatform,
    out: Outbox,
    rng: ChaCha8Rng,
    now: Millis,
    calls: u64,
    faults: BTreeSet<String>,
}

/// A request as it came.
struct Incoming {
    method: String,
    path: String,
    headers: BTreeMap<String, String>,
    body: Vec<u8>,
}

impl Server {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let core = Arc::new(Mutex::new(Core {
            controller: ConfigurationController::default(),
            platform: FakePlatform::default(),
            out: Outbox::default(),
            rng: ChaCha8Rng::seed_from_u64(1),
            now: Millis::ZERO,
            calls: 0,
            faults: BTreeSet::new(),
        }));
        let shared = Arc::clone(&core);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                shared.lock().expect("the core is whole").serve(stream);
            }
        });
        Self { address, core }
    }

    /// Brings about a fault.
    pub fn fault(&self, fault: &str) {
        let mut core = self.core.lock().expect("the core is whole");
        match fault {
            "platform down" => core.platform.down = true,
            "platform up" => core.platform.down = false,
            "swap lands and its answer is lost" => {
                core.platform.mishaps.push_back(Mishap::Landed);
                core.faults.insert("platform leaves".to_owned());
            }
            other => {
                core.faults.insert(other.to_owned());
            }
        }
    }
}

impl Core {
    fn serve(&mut self, stream: TcpStream) {
        let Some(incoming) = receive(&stream) else {
            return;
        };
        let answer = self.answer(&incoming);
        if self.faults.remove("loses an answer") {
            return;
        }
        let body = answer.body();
        let head = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
             Connection: close\r\n\r\n",
            answer.code.status(),
            answer.code.kind(),
            body.len()
        );
        let mut stream = stream;
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.write_all(body.as_bytes());
    }

    fn answer(&mut self, incoming: &Incoming) -> AdminAnswer {
        self.act(Controller::tick);
        self.pump();
        let bearer = incoming.headers.get("authorization");
        let bearer = bearer.and_then(|value| value.strip_prefix("Bearer ").map(key_digest));
        let call = AdminCall {
            method: &incoming.method,
            path: &incoming.path,
            key: incoming.headers.get("idempotency-key").map(String::as_str),
            bearer: bearer.as_ref(),
            body: &incoming.body,
        };
        let view = Arc::clone(self.controller.view());
        let id = CallId(self.calls);
        self.calls += 1;
        match route(&call, &view) {
            Err(answer) | Ok(AdminRequest::Answer(answer)) => answer,
            Ok(AdminRequest::Change { request, operator }) => {
                let name = request.id.clone();
                self.act(|controller, cx| {
                    controller.begin_change(cx, id, *request, &operator);
                });
                AdminAnswer::outcome(&name, &self.outcome(id))
            }
            Ok(AdminRequest::LookUp { id: name, after }) => {
                self.act(|controller, cx| controller.look_up(cx, id, &name, after));
                AdminAnswer::outcome(&name, &self.outcome(id))
            }
        }
    }

    /// Lets virtual time pass until a call has its outcome.
    fn outcome(&mut self, wanted: CallId) -> Outcome {
        let end = self.now + ANSWER_LIMIT;
        while self.now < end {
            self.pump();
            for event in self.controller.take_events() {
                if let Event::Outcome { call, outcome } = event
                    && call == wanted
                {
                    return outcome;
                }
            }
            self.now = self.controller.next().max(self.now + Millis(1));
            self.act(Controller::tick);
        }
        panic!("a call has no outcome");
    }

    /// Lets the service answer until nothing is asked any more.
    fn pump(&mut self) {
        loop {
            let actions = self.out.take();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                let Action::Platform { op, request } = action else {
                    continue;
                };
                let swaps = self.platform.swaps;
                let reply = self.platform.answer(&request);
                if self.platform.swaps > swaps && self.faults.remove("platform leaves") {
                    self.platform.down = true;
                }
                self.act(|controller, cx| {
                    controller.reply(cx, op, &reply);
                });
            }
        }
    }

    fn act(&mut self, act: impl FnOnce(&mut ConfigurationController, &mut Context<'_>)) {
        let mut cx = Context {
            now: self.now,
            out: &mut self.out,
            rng: &mut self.rng,
        };
        act(&mut self.controller, &mut cx);
    }
}

fn receive(stream: &TcpStream) -> Option<Incoming> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let path = words.next()?.to_owned();
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim().split_once(':') else {
            break;
        };
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length");
    let length = length.map_or(0, |length| length.parse().unwrap_or(0));
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Incoming {
        method,
        path,
        headers,
        body,
    })
}
