//! HTTP by hand, for what no client library would send.

use std::collections::BTreeMap;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use serde_json::Value;

/// Bound on each wait; a test that meets it fails.
pub const BOUND: Duration = Duration::from_secs(20);

/// An answer, read to its end.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The headers, by their names in lower case.
    pub headers: BTreeMap<String, String>,
    /// The body as it came.
    pub body: String,
}

impl Answer {
    /// Reads an answer from all that came on a connection.
    pub fn parse(text: &str) -> Self {
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((text, ""));
        let mut lines = head.lines();
        let status = lines
            .next()
            .and_then(|line| line.split(' ').nth(1)?.parse().ok());
        let fields = lines.filter_map(|line| line.split_once(": "));
        Self {
            status: status.unwrap_or(0),
            headers: fields
                .map(|(name, value)| (name.to_lowercase(), value.to_owned()))
                .collect(),
            body: body.to_owned(),
        }
    }

    /// Returns a header, empty if it is not there.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Reads the body as an OpenAI-style client does, and returns what it would show.
    pub fn shown(&self) -> (String, String, u64) {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        let error = &body["error"];
        let text = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
        (
            text("message"),
            text("type"),
            error["code"].as_u64().unwrap_or(0),
        )
    }
}

/// Connects with bounded waits.
pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the daemon listens");
    stream.set_read_timeout(Some(BOUND)).expect("a bound");
    stream
}

/// Sends bytes and reads until the daemon closes.
pub fn exchange(address: SocketAddr, bytes: &[u8]) -> Answer {
    let mut stream = connect(address);
    // A daemon that refuses early may close before all is sent.
    let _ = stream.write_all(bytes);
    read(&mut stream)
}

/// Reads what comes until the daemon closes.
pub fn read(stream: &mut TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(len) => bytes.extend_from_slice(&buffer[..len]),
            Err(err) => {
                assert!(!bytes.is_empty(), "no answer came: {err}");
                break;
            }
        }
    }
    Answer::parse(&String::from_utf8_lossy(&bytes))
}

/// Writes a request with a body, asking to close after it.
pub fn request(line: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let fields = headers
        .iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"));
    let fields: String = fields.collect();
    let usual = "host: x\r\nconnection: close\r\n";
    let length = body.len();
    format!("{line} HTTP/1.1\r\n{usual}{fields}content-length: {length}\r\n\r\n{body}").into_bytes()
}

/// Writes a chat request with a key.
pub fn chat(key: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let bearer = format!("Bearer {key}");
    let mut all = vec![
        ("authorization", bearer.as_str()),
        ("content-type", "application/json"),
    ];
    all.extend_from_slice(headers);
    request("POST /v1/chat/completions", &all, body)
}
