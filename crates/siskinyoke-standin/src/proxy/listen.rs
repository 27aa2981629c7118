//! Listening sockets suited to bursts of connections and to streaming.

use std::io;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::TcpListener;

use tokio::net::TcpSocket;
use tokio::runtime::Builder;

/// Maximum number of connections that wait to be accepted.
///
/// The standard library's 128 overflow when a few hundred callers connect at once. The kernel then
/// drops the others, whose SYN is sent again after a second, so their first token is a second late.
/// This value is the default limit of Linux.
const LISTEN_BACKLOG: u32 = 4096;

/// An address that is bound but not listened on, so that connections to it are refused.
///
/// Prevents another server from being assigned the port while a stand-in is down. The stand-in's
/// callers would reach that server, and the stand-in could not bind its address again.
#[derive(Debug)]
pub struct ReservedAddress {
    socket: TcpSocket,
}

/// Listens with a large backlog and with `TCP_NODELAY` on accepted sockets.
///
/// # Errors
///
/// An I/O error if the address cannot be listened on.
pub fn listen(address: &str) -> io::Result<TcpListener> {
    ReservedAddress::new(address)?.listen()
}

impl ReservedAddress {
    /// Binds an address.
    ///
    /// # Errors
    ///
    /// An I/O error if the address is invalid or in use.
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
    /// Without `TCP_NODELAY` the kernel holds back a small chunk until the previous one is
    /// acknowledged, so chunks arrive in bunches 40 ms apart. Accepted sockets inherit the option
    /// from the listening socket. The standard library can set neither the option nor the backlog,
    /// so the socket is created by `tokio`; nothing runs on its runtime.
    ///
    /// # Errors
    ///
    /// An I/O error if the address cannot be listened on.
    pub fn listen(self) -> io::Result<TcpListener> {
        let runtime = Builder::new_current_thread().enable_io().build()?;
        let _guard = runtime.enter();
        let listener = self.socket.listen(LISTEN_BACKLOG)?.into_std()?;
        listener.set_nonblocking(false)?;
        Ok(listener)
    }
}
