//! Endpoints that stop inside the head of a response or right after it, and heads that are complete
//! but state something else than their endpoint sent.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use siskinyoke_base::Millis;
use siskinyoke_gateway::store::Client;
use siskinyoke_gateway::store::StoreError;
use siskinyoke_interface::Call;
use siskinyoke_platform::interface;
use siskinyoke_soak::Endpoint;
use siskinyoke_soak::Instance;
use siskinyoke_soak::Proxy;
use siskinyoke_soak::Store;
use siskinyoke_soak::configuration;
use siskinyoke_soak::endpoint::scripted::Script;
use siskinyoke_soak::endpoint::scripted::ScriptEnd;
use siskinyoke_soak::instance::send_request;
use siskinyoke_soak::instance::wait_until;
use siskinyoke_soak::proxy::Cut;

/// The first lines of a response.
const SIGNED_LINES: &str =
    "HTTP/1.1 200 OK\r\nSiskinyoke-Request-Id: {id}\r\nSiskinyoke-Response-Seal: s\r\n";

/// How the end of a body is marked.
const FRAMINGS: [&str; 3] = ["length", "chunked", "unmarked"];

/// How a connection ends inside a head.
const ENDS: [ScriptEnd; 2] = [ScriptEnd::Close, ScriptEnd::Reset];

/// The kinds of requests, each with the type and the body of its response.
const KINDS: [(&str, &str, &str); 2] = [
    ("/once/scripted", "text/plain", "whole"),
    (
        "/single/scripted",
        "text/event-stream",
        "id: 1\ndata: 1\n\n",
    ),
];

struct Setup {
    _store: Store,
    endpoints: Vec<Endpoint>,
    proxies: Vec<Proxy>,
    instances: Vec<Instance>,
}

impl Setup {
    fn start(instances: usize) -> Self {
        let store = Store::start();
        store.put("op/config", &configuration::text(3, "k1"));
        let endpoints: Vec<_> = ["e1", "e2"].map(Endpoint::start).into();
        let proxies: Vec<_> = endpoints
            .iter()
            .map(|it| Proxy::start(it.address))
            .collect();
        for (endpoint, proxy) in endpoints.iter().zip(&proxies) {
            // A proxy ends its connections without a reset.
            let address = if instances > 1 {
                proxy.address
            } else {
                endpoint.address
            };
            let entry = endpoint.entry_at(address, "ready");
            store.put(&format!("servers/{}", endpoint.id), &entry);
        }
        let program = Path::new(env!("CARGO_BIN_EXE_siskinyoke-gateway"));
        let instances: Vec<_> = (0..instances)
            .map(|it| Instance::start(program, &format!("i{it}"), store.address))
            .map(Instance::wait_until_ready)
            .collect();
        let peers = u64::try_from(instances.len()).unwrap() - 1;
        for instance in &instances {
            wait_until("the instance knows its peers and serves", || {
                let known = instance.metric("what=\"peers\"").unwrap_or(0);
                known == peers && instance.serves_requests()
            });
        }
        Self {
            _store: store,
            endpoints,
            proxies,
            instances,
        }
    }

    // Cuts the first instance off from all endpoints, so that it sends requests through another.
    fn lose_links(&self) {
        let instance = &self.instances[0];
        for proxy in &self.proxies {
            proxy.set_cut(instance.caller_address.ip(), Some(Cut::Reset));
        }
        wait_until("requests are relayed", || {
            let is_served = instance.serves_requests();
            is_served && instance.metric("what=\"lost_links\"") == Some(1)
        });
    }

    // Sets the responses of all endpoints to requests for a whole response, and to those that go on
    // with a stream.
    fn set_scripts(&self, whole: &Script, resumed: &Script) {
        for endpoint in &self.endpoints {
            endpoint.set_scripts(whole.clone(), resumed.clone());
        }
    }

    // Sends a request until it reaches an endpoint, as one that takes a stream up may be refused
    // just after the start of the instance.
    fn call(&self, path: &str, headers: &str) -> Received {
        let headers = format!("connection: close\r\n{headers}");
        let before = self.request_count();
        let mut received = None;
        wait_until("the request reaches an endpoint", || {
            let mut stream = self.instances[0].connect();
            send_request(&mut stream, "r", path, &headers, "");
            received = Some(Received::read(&mut stream));
            self.request_count() > before
        });
        received.unwrap()
    }

    fn request_count(&self) -> usize {
        self.endpoints.iter().map(|it| it.requests().len()).sum()
    }
}

/// A response as a caller receives it.
#[derive(Debug)]
struct Received {
    head: String,
    body: String,
    // Whether the connection was reset.
    reset: bool,
}

impl Received {
    fn read(stream: &mut TcpStream) -> Self {
        let mut bytes = Vec::new();
        let reset = stream.read_to_end(&mut bytes).is_err();
        let text = String::from_utf8(bytes).unwrap();
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        Self {
            head: head.to_owned(),
            body: body.to_owned(),
            reset,
        }
    }

    // Returns whether the caller takes the response for a whole and successful one.
    fn is_success(&self) -> bool {
        let is_whole = if self.head.contains("transfer-encoding: chunked") {
            self.body.ends_with("0\r\n\r\n")
        } else {
            let mut lines = self.head.lines();
            let length = lines.find_map(|it| it.strip_prefix("content-length: "));
            let length = length.map(|it| it.parse::<usize>().unwrap());
            !self.reset && length.is_none_or(|it| it == self.body.len())
        };
        let status = self.head.split(' ').nth(1);
        is_whole && status.is_some_and(|it| it.starts_with('2'))
    }
}

/// The bytes of a response, and the length of its head.
struct Encoded {
    text: String,
    head_len: usize,
}

impl Encoded {
    fn new(framing: &str, media_type: &str, body: &str) -> Self {
        let length = body.len();
        let (line, body) = match framing {
            "length" => (format!("Content-Length: {length}\r\n"), body.to_owned()),
            "chunked" => (
                "Transfer-Encoding: chunked\r\n".to_owned(),
                format!("{length:x}\r\n{body}\r\n0\r\n\r\n"),
            ),
            _ => (String::new(), body.to_owned()),
        };
        let head = format!("{SIGNED_LINES}Content-Type: {media_type}\r\n{line}\r\n");
        Self {
            head_len: head.len(),
            text: head + &body,
        }
    }

    // Returns the response cut off after some of its bytes.
    fn cut(&self, length: usize, end: ScriptEnd) -> Script {
        Script {
            text: self.text[..length].to_owned(),
            end,
        }
    }

    // Returns lengths at which the response is cut inside and after each line of its head.
    fn cuts_in_head(&self) -> Vec<usize> {
        let line_ends = self.text[..self.head_len].match_indices('\n');
        let cuts = line_ends.flat_map(|it| [it.0.saturating_sub(3), it.0, it.0 + 1]);
        cuts.filter(|it| *it < self.head_len).collect()
    }
}

fn whole(text: String) -> Script {
    Script {
        text,
        end: ScriptEnd::Close,
    }
}

// Runs a check of each row, several at a time.
fn for_each<T: Sync>(rows: &[T], check: impl Fn(&T) + Sync) {
    thread::scope(|scope| {
        for part in rows.chunks(rows.len().div_ceil(4)) {
            scope.spawn(|| part.iter().for_each(&check));
        }
    });
}

// Guards against a head that broke off and is taken for a whole response.
#[test]
fn a_response_cut_inside_its_head_never_looks_like_a_success() {
    let mut rows = Vec::new();
    for framing in FRAMINGS {
        for kind in KINDS {
            let encoded = Encoded::new(framing, kind.1, kind.2);
            let cuts = encoded.cuts_in_head();
            for end in ENDS {
                rows.extend(cuts.iter().map(|it| (kind.0, encoded.cut(*it, end))));
            }
            // The whole head, and nothing of a body whose end would be marked, or a reset.
            let end = match framing {
                "unmarked" => ScriptEnd::Reset,
                _ => ScriptEnd::Close,
            };
            rows.push((kind.0, encoded.cut(encoded.head_len, end)));
        }
    }
    for_each(&rows, |(path, script)| {
        let setup = Setup::start(1);
        setup.set_scripts(script, script);
        let received = setup.call(path, "");
        assert!(!received.is_success(), "{path} {script:?}: {received:?}");
    });
}

// Guards against a peer that marks the end of what it received of a cut response.
#[test]
fn a_relayed_response_cut_inside_its_head_never_looks_like_a_success() {
    let mut rows = Vec::new();
    for framing in FRAMINGS {
        for (path, media_type, body) in KINDS {
            let encoded = Encoded::new(framing, media_type, body);
            // Where nothing marks the end of the body, it may be empty.
            let cuts = [encoded.head_len - 3, encoded.head_len - 1, encoded.head_len];
            let count = if framing == "unmarked" { 2 } else { 3 };
            let cuts = cuts[..count].iter();
            rows.extend(cuts.map(|it| (path, encoded.cut(*it, ScriptEnd::Close))));
        }
    }
    for_each(&rows, |(path, script)| {
        let setup = Setup::start(2);
        setup.lose_links();
        setup.set_scripts(script, script);
        let received = setup.call(path, "");
        assert!(!received.is_success(), "{path} {script:?}: {received:?}");
    });
}

// The second endpoint of a stream stops inside its head, or closes its connection after it. Guards
// against the final chunk after events of the first endpoint only.
#[test]
fn a_stream_resumed_by_a_cut_head_does_not_look_complete() {
    let mut rows = Vec::new();
    for first in FRAMINGS {
        let body = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\n";
        let broken = Encoded::new(first, "text/event-stream", &format!("{body}data: 3\n\n"));
        let length = broken.text.find("id: 3").unwrap();
        let broken = broken.cut(length, ScriptEnd::Reset);
        for last in FRAMINGS {
            let rest = Encoded::new(last, "text/event-stream", "id: 3\ndata: 3\n\n");
            for length in [rest.head_len - 1, rest.head_len, rest.head_len + 4] {
                let ends = ENDS.map(|it| (broken.clone(), rest.cut(length, it)));
                rows.extend(ends);
            }
        }
    }
    for_each(&rows, |(broken, rest)| {
        for headers in ["", "last-event-id: 2\r\n"] {
            let setup = Setup::start(1);
            setup.set_scripts(broken, rest);
            let received = setup.call("/stream/scripted", headers);
            assert!(!received.is_success(), "{broken:?} {rest:?}: {received:?}");
        }
    });
}

// Guards against a response on a connection that was used before.
#[test]
fn a_second_head_cut_on_a_kept_connection_does_not_look_like_a_success() {
    for framing in FRAMINGS {
        let setup = Setup::start(1);
        let encoded = Encoded::new("length", "text/plain", "whole");
        let kept = encoded.cut(encoded.text.len(), ScriptEnd::Keep);
        setup.set_scripts(&kept, &kept);
        assert!(setup.call("/once/scripted", "").is_success());
        // Connections are used again once they have been idle for a moment.
        thread::sleep(Duration::from_millis(20));
        let encoded = Encoded::new(framing, "text/plain", "whole");
        let cut = encoded.cut(encoded.head_len - 1, ScriptEnd::Close);
        setup.set_scripts(&cut, &cut);
        let received = setup.call("/once/scripted", "");
        assert!(!received.is_success(), "{framing}: {received:?}");
    }
}

// Guards against heads that state no valid length, a coding that is not removed or two IDs.
#[test]
fn a_malformed_head_is_not_passed_on_as_a_success() {
    for (lines, body) in [
        ("Content-Length: 5\r\nContent-Length: 3\r\n\r\n", "whole"),
        ("Content-Length: \r\n\r\n", "whole"),
        (
            "Siskinyoke-Request-Id: other\r\nContent-Length: 5\r\n\r\n",
            "whole",
        ),
        ("Content-Length : 5\r\n\r\n", "whole"),
        ("Content-Length: 5\r\n\r", "whole"),
        ("Content-Length: 5\n", ""),
        ("Transfer-Encoding: chunked\r\n\r\n", "5\r\nwhole\r\n0"),
        ("Transfer-Encoding: chunked\r\n\r\n", "5\r\nwhole\r\n0\r\n"),
        (
            "Transfer-Encoding: chunked\r\n\r\n",
            "5\r\nwhole\r\n0\r\nX: 1\r\n",
        ),
        (
            "Transfer-Encoding: chunke\r\n\r\n",
            "5\r\nwhole\r\n0\r\n\r\n",
        ),
        ("Transfer-Encoding: \r\n\r\n", "5\r\nwhole\r\n0\r\n\r\n"),
        (
            "Transfer-Encoding: gzip, chunked\r\n\r\n",
            "5\r\nwhole\r\n0\r\n\r\n",
        ),
    ] {
        let setup = Setup::start(1);
        let script = whole(format!("{SIGNED_LINES}{lines}{body}"));
        setup.set_scripts(&script, &script);
        let received = setup.call("/once/scripted", "");
        assert!(!received.is_success(), "{lines:?} {body:?}: {received:?}");
    }
}

// Guards against checks that refuse what endpoints may send.
#[test]
fn a_well_formed_head_is_passed_on_as_a_success() {
    for (lines, body) in [
        ("Content-Length: 5\r\n\r\n", "whole"),
        ("Content-Length: 5\r\n\n", "whole"),
        ("Content-Length: 5\r\nContent-Length: 5\r\n\r\n", "whole"),
        (
            "Transfer-Encoding: Chunked\r\n\r\n",
            "5\r\nwhole\r\n0\r\n\r\n",
        ),
        ("\r\n", "whole"),
    ] {
        let setup = Setup::start(1);
        let script = whole(format!("{SIGNED_LINES}{lines}{body}"));
        setup.set_scripts(&script, &script);
        let received = setup.call("/once/scripted", "");
        assert!(received.is_success(), "{lines:?}: {received:?}");
        assert!(received.body.contains("whole"), "{lines:?}: {received:?}");
    }
}

// Makes a call of a store that sends a response and closes the connection.
fn call_store(response: &str) -> Result<Bytes, StoreError> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::scope(|scope| {
        scope.spawn(|| {
            let (mut stream, _) = listener.accept().unwrap();
            let mut head = [0; 1024];
            assert!(stream.read(&mut head).unwrap() > 0);
            stream.write_all(response.as_bytes()).unwrap();
        });
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async {
            let mut client = Client::default();
            let limit = Millis::from_secs(5);
            client.call(address, &Call::get("/"), limit).await
        })
    })
}

// Guards against a part of the store that is taken for all of it.
#[test]
fn a_cut_page_of_the_store_is_never_decoded() {
    let page = r#"{"Items":[{"Key":"a","Value":"YQ==","Revision":1}],"HasMore":true,"At":5}"#;
    for framing in FRAMINGS {
        let whole = Encoded::new(framing, "application/json", page).text;
        for length in 0..=whole.len() {
            let decoded = call_store(&whole[..length]).ok();
            let decoded = decoded.and_then(|it| interface().store.decode_range(&it, 0).ok());
            assert_eq!(
                decoded.is_some(),
                length == whole.len(),
                "{framing} {length}"
            );
        }
    }
}

// Guards against statuses outside the standard that callers get as responses.
#[test]
fn a_status_that_no_response_may_have_is_not_passed_on() {
    let mut passed_on = Vec::new();
    for instances in [1, 2] {
        let setup = Setup::start(instances);
        if instances > 1 {
            setup.lose_links();
        }
        for status in ["000", "099", "600", "999"] {
            for path in ["/safe/scripted", "/once/scripted", "/stream/scripted"] {
                let head = SIGNED_LINES.replace("200 OK", &format!("{status} X"));
                let script = Script {
                    text: format!("{head}content-length: 5\r\n\r\nwhole"),
                    end: ScriptEnd::Keep,
                };
                setup.set_scripts(&script, &script);
                // A request that breaks connections is refused when it comes again.
                let path = format!("{path}/{status}");
                let head = setup.call(&path, "").head;
                if !head.starts_with("HTTP/1.1 502") {
                    passed_on.push(format!("{path}, {instances} instances: {head}"));
                }
            }
        }
    }
    assert!(passed_on.is_empty(), "{passed_on:#?}");
}
