//! One connection through the gate.

use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// A client's connection and the one that carries it on to the server.
#[derive(Debug)]
pub struct Link {
    client: TcpStream,
    server: TcpStream,
    /// Whether the server has begun with it.
    pub served: bool,
}

/// One direction of a connection.
#[derive(Debug)]
pub struct Way {
    /// Where bytes come from.
    pub from: TcpStream,
    /// Where they go.
    pub to: TcpStream,
}

impl Link {
    /// Connects a client on to a server.
    pub fn open(client: TcpStream, inner: SocketAddr) -> io::Result<Self> {
        let server = TcpStream::connect(inner)?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        Ok(Self {
            client,
            server,
            served: false,
        })
    }

    /// Returns the address under which the server sees the connection.
    pub fn seen(&self) -> io::Result<SocketAddr> {
        self.server.local_addr()
    }

    /// Returns the direction to the server.
    pub fn up(&self) -> io::Result<Way> {
        let from = self.client.try_clone()?;
        let to = self.server.try_clone()?;
        Ok(Way { from, to })
    }

    /// Returns the direction to the client.
    pub fn down(&self) -> io::Result<Way> {
        let from = self.server.try_clone()?;
        let to = self.client.try_clone()?;
        Ok(Way { from, to })
    }

    /// Closes both sides at once.
    pub fn close(&self) {
        // Either side may have closed already, which is what is wanted.
        let _ = self.client.shutdown(Shutdown::Both);
        let _ = self.server.shutdown(Shutdown::Both);
    }

    /// Closes the server's side; what it has sent can still be read.
    pub fn shut_server(&self) {
        // The server may have closed already, which is what is wanted.
        let _ = self.server.shutdown(Shutdown::Both);
    }
}

impl Way {
    /// Sets how long a read waits; false if the connection is gone.
    pub fn set_pause(&self, pause: Option<Duration>) -> bool {
        self.from.set_read_timeout(pause).is_ok()
    }
}
