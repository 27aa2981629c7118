//! Listens for connections as a server under load has to.

use std::io;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::TcpListener;

use tokio::net::TcpSocket;
use tokio::runtime::Builder;

/// Connections that may wait to be accepted.
///
/// The standard library's 128 overflow when a few hundred callers connect at once; the system
/// then drops the rest, which shows as a first token exactly a second late. This is what Linux
/// allows by default.
const LISTEN_BACKLOG: u32 = 4096;

/// An address that is taken and not listened on, so that connections to it are refused.
///
/// Guards against another server that is given the same free port while a stand-in is down: its
/// caller would be answered by a stranger, and the stand-in could not come back.
#[derive(Debug)]
pub struct ReservedAddress {
    socket: TcpSocket,
}

/// Listens with room for bursts, and so that accepted sockets send small pieces at once.
///
/// # Errors
///
/// What the system says if the address cannot be listened on.
pub fn listen(address: &str) -> io::Result<TcpListener> {
    ReservedAddress::new(address)?.listen()
}

impl ReservedAddress {
    /// Takes an address.
    ///
    /// # Errors
    ///
    /// What the system says if the address is not free.
    pub fn new(address: &str) -> io::Result<Self> {
        let address: SocketAddr = address
            .parse()
            .map_err(|err| io::Error::new(ErrorKind::InvalidInput, err))?;
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.set_nodelay(true)?;
        socket.bind(address)?;
        Ok(Self { socket })
    }

    /// Listens on the address.
    ///
    /// Without the option against delay the system holds a small piece of a stream back until the
    /// one before it was acknowledged, which shows as pieces that arrive in bunches 40 ms apart. An
    /// accepted socket takes the option over from the listening one. The standard library can set
    /// neither it nor the room, so the socket is made by `tokio`, and nothing runs on its runtime.
    ///
    /// # Errors
    ///
    /// What the system says if the address cannot be listened on.
    pub fn listen(self) -> io::Result<TcpListener> {
        let runtime = Builder::new_current_thread().enable_io().build()?;
        let _guard = runtime.enter();
        let listener = self.socket.listen(LISTEN_BACKLOG)?.into_std()?;
        listener.set_nonblocking(false)?;
        Ok(listener)
    }
}
