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
const BACKLOG: u32 = 4096;

/// Listens with room for bursts, and so that accepted sockets send small pieces at once.
///
/// Without the latter the system holds a small piece of a stream back until the one before it was
/// acknowledged, which shows as pieces that arrive in bunches 40 ms apart. An accepted socket
/// takes the option over from the listening one. The standard library can set neither, so the
/// socket is made by `tokio`, and nothing runs on its runtime.
///
/// # Errors
///
/// What the system says if the address cannot be listened on.
pub fn listen(address: &str) -> io::Result<TcpListener> {
    let address: SocketAddr = address
        .parse()
        .map_err(|err| io::Error::new(ErrorKind::InvalidInput, err))?;
    let runtime = Builder::new_current_thread().enable_io().build()?;
    let _guard = runtime.enter();
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    let listener = socket.listen(BACKLOG)?.into_std()?;
    listener.set_nonblocking(false)?;
    Ok(listener)
}
