//! One connection through the gate.

use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// A client's connection and the one that carries it on to the server.
#[derive(Debug)]
pub struct Connection {
    client: TcpStream,
    server: TcpStream,
    /// Whether the server has begun with it.
    pub handled: bool,
}

/// One direction of a connection.
#[derive(Debug)]
pub struct Direction {
    /// Where bytes come from.
    pub source: TcpStream,
    /// Where they go.
    pub destination: TcpStream,
}

impl Connection {
    /// Connects a client on to a server.
    pub fn connect(client: TcpStream, inner: SocketAddr) -> io::Result<Self> {
        let server = TcpStream::connect(inner)?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        Ok(Self {
            client,
            server,
            handled: false,
        })
    }

    /// Returns the address under which the server sees the connection.
    pub fn peer(&self) -> io::Result<SocketAddr> {
        self.server.local_addr()
    }

    /// Returns the direction to the server.
    pub fn to_server(&self) -> io::Result<Direction> {
        let from = self.client.try_clone()?;
        let to = self.server.try_clone()?;
        Ok(Direction {
            source: from,
            destination: to,
        })
    }

    /// Returns the direction to the client.
    pub fn to_client(&self) -> io::Result<Direction> {
        let from = self.server.try_clone()?;
        let to = self.client.try_clone()?;
        Ok(Direction {
            source: from,
            destination: to,
        })
    }

    /// Closes both sides at once.
    pub fn close(&self) {
        // Either side may have closed already, which is what is wanted.
        let _ = self.client.shutdown(Shutdown::Both);
        let _ = self.server.shutdown(Shutdown::Both);
    }

    /// Closes the server's side; what it has sent can still be read.
    pub fn shut_down_server(&self) {
        // The server may have closed already, which is what is wanted.
        let _ = self.server.shutdown(Shutdown::Both);
    }
}

impl Direction {
    /// Sets how long a read waits; false if the connection is gone.
    pub fn set_read_timeout(&self, pause: Option<Duration>) -> bool {
        self.source.set_read_timeout(pause).is_ok()
    }
}
