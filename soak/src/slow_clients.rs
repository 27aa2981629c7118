//! Clients that send requests, and read the responses slowly or not at all.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::io::Errno;
use rustix::net::AddressFamily;
use rustix::net::SocketFlags;
use rustix::net::SocketType;
use rustix::net::connect;
use rustix::net::socket_with;
use rustix::net::sockopt::set_socket_recv_buffer_size;
use rustix::net::sockopt::set_socket_send_buffer_size;

/// Size of the receive buffers, so that what is not read stays with the sender.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024;

/// Size of the send buffers, which take a request at once.
const SEND_BUFFER_BYTES: usize = 128 * 1024;

/// Clients that send requests, and read the responses slowly or not at all.
#[derive(Debug)]
pub struct SlowClients {
    address: SocketAddr,
    streams: Vec<TcpStream>,
}

impl SlowClients {
    /// Opens connections without waiting for each to be established.
    ///
    /// # Panics
    ///
    /// If no socket can be created.
    pub fn connect(address: SocketAddr, count: usize) -> Self {
        let streams = (0..count).map(|_| open(address)).collect();
        Self { address, streams }
    }

    /// Sends bytes over each connection, by its number.
    ///
    /// What a connection does not take at once is left out, as it may have been refused already.
    pub fn send(&mut self, bytes: impl Fn(usize) -> Vec<u8>) {
        for (number, stream) in self.streams.iter_mut().enumerate() {
            send_now(stream, &bytes(number));
        }
    }

    /// Reads some bytes from each connection at each interval.
    pub fn read_slowly(&mut self, bytes: usize, interval: Duration, duration: Duration) {
        let end = Instant::now() + duration;
        let mut buffer = vec![0; bytes];
        while Instant::now() < end {
            thread::sleep(interval);
            for stream in &mut self.streams {
                // There may be nothing to read, or the connection may have been closed.
                drop(stream.read(&mut buffer));
            }
        }
    }

    /// Opens each connection again that the other side closes, and sends bytes over it.
    pub fn reconnect(&mut self, bytes: &[u8], duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            thread::sleep(Duration::from_millis(50));
            for stream in &mut self.streams {
                if is_closed(stream) {
                    *stream = open(self.address);
                    send_now(stream, bytes);
                }
            }
        }
    }

    /// Returns how many connections are still open.
    pub fn open_count(&mut self) -> usize {
        let streams = self.streams.iter_mut();
        streams.map(is_closed).filter(|closed| !closed).count()
    }
}

/// Opens a connection that waits for its bytes, with a receive buffer as small as those of slow
/// clients.
///
/// # Panics
///
/// If the connection is refused.
pub fn connect_blocking(address: SocketAddr) -> TcpStream {
    let stream = open(address);
    stream.set_nonblocking(false).unwrap();
    stream
}

fn open(address: SocketAddr) -> TcpStream {
    let family = if address.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = socket_with(family, SocketType::STREAM, flags, None).unwrap();
    set_socket_recv_buffer_size(&socket, RECEIVE_BUFFER_BYTES).unwrap();
    set_socket_send_buffer_size(&socket, SEND_BUFFER_BYTES).unwrap();
    match connect(&socket, &address) {
        // A refused connection counts as one that the other side closes.
        Ok(()) | Err(Errno::INPROGRESS | Errno::CONNREFUSED) => {}
        Err(err) => panic!("cannot connect to {address}: {err}"),
    }
    TcpStream::from(socket)
}

fn send_now(stream: &mut TcpStream, mut bytes: &[u8]) {
    while let Ok(length) = stream.write(bytes) {
        bytes = &bytes[length..];
        if length == 0 {
            break;
        }
    }
}

fn is_closed(stream: &mut TcpStream) -> bool {
    match stream.peek(&mut [0]) {
        Ok(length) => length == 0,
        Err(err) => !matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected),
    }
}
