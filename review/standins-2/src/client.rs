//! A requester: sends a request over a new channel and reads the answer.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http;
use crate::http::Message;

/// How long a requester waits for a new channel.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The host of all routes.
pub const HOST: &str = "ficu95.example";

/// The key of the only tenant.
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// A request.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The method.
    pub method: &'a str,
    /// The path.
    pub path: &'a str,
    /// The id of this attempt.
    pub id: &'a str,
    /// Further headers, each a whole line.
    pub headers: &'a str,
    /// The body.
    pub body: &'a str,
}

/// Sends a request over a new channel and returns the answer, if it is whole.
pub fn send(front: SocketAddr, request: Request<'_>, deadline: Duration) -> Option<Message> {
    let Request {
        method,
        path,
        id,
        headers,
        body,
    } = request;
    let mut stream = TcpStream::connect_timeout(&front, CONNECT_TIMEOUT).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(deadline)).ok()?;
    let length = body.len();
    let millis = deadline.as_millis();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nSiskinyoke-Request-Id: {id}\r\n\
         Siskinyoke-Deadline-Ms: {millis}\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Length: {length}\r\n{headers}Connection: close\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes()).ok()?;
    http::read(&mut BufReader::new(stream)).ok()?
}

/// Returns the status of a page, or 0.
pub fn get_status(address: SocketAddr, path: &str) -> u16 {
    let get = || {
        let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
        stream.set_read_timeout(Some(CONNECT_TIMEOUT)).ok()?;
        let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        stream.write_all(text.as_bytes()).ok()?;
        http::read_head(&mut BufReader::new(stream)).ok()?
    };
    get().map_or(0, |it| it.status())
}
