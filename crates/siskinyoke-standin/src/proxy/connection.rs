//! One proxied connection.

use std::io;
use std::net::IpAddr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;

/// A client's connection and the matching connection to the server.
#[derive(Debug)]
pub struct Connection {
    client: TcpStream,
    server: TcpStream,
    /// Whether the server handles the connection.
    pub handled: bool,
    /// Whether a control command arrived on it. Faults do not delay the response to a command.
    pub has_command: bool,
}

/// One direction of a proxied connection.
#[derive(Debug)]
pub struct Direction {
    /// The side that bytes are read from.
    pub source: TcpStream,
    /// The side that bytes are written to.
    pub destination: TcpStream,
}

impl Connection {
    /// Opens a connection to the server for a client.
    pub fn connect(client: TcpStream, server_address: SocketAddr) -> io::Result<Self> {
        let server = TcpStream::connect(server_address)?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        Ok(Self {
            client,
            server,
            handled: false,
            has_command: false,
        })
    }

    /// Returns the peer address that the server sees, which identifies the connection.
    pub fn peer(&self) -> io::Result<SocketAddr> {
        self.server.local_addr()
    }

    /// Returns the client's IP address, unless the connection is closed.
    pub fn source(&self) -> Option<IpAddr> {
        self.client.peer_addr().ok().map(|it| it.ip())
    }

    /// Returns the direction from the client to the server.
    pub fn to_server(&self) -> io::Result<Direction> {
        let source = self.client.try_clone()?;
        let destination = self.server.try_clone()?;
        Ok(Direction {
            source,
            destination,
        })
    }

    /// Returns the direction from the server to the client.
    pub fn to_client(&self) -> io::Result<Direction> {
        let source = self.server.try_clone()?;
        let destination = self.client.try_clone()?;
        Ok(Direction {
            source,
            destination,
        })
    }

    /// Closes both sides at once.
    pub fn close(&self) {
        // An error means that the side is closed already.
        let _ = self.client.shutdown(Shutdown::Both);
        let _ = self.server.shutdown(Shutdown::Both);
    }

    /// Closes the server's side; data that it has sent can still be read.
    pub fn shut_down_server(&self) {
        // An error means that the server has closed already.
        let _ = self.server.shutdown(Shutdown::Both);
    }
}

/// Lets a connection end with a reset. An error means that it is closed already.
pub fn reset(stream: &TcpStream) {
    let _ = set_socket_linger(stream, Some(Duration::ZERO));
}

impl Direction {
    /// Sets the timeout of reads. Returns false if the connection is closed.
    pub fn set_read_timeout(&self, timeout: Option<Duration>) -> bool {
        self.source.set_read_timeout(timeout).is_ok()
    }
}
