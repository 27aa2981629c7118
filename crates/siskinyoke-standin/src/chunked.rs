//! An answer that is sent in pieces, each as soon as it is there.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::proxy::Proxy;

/// A chunked answer under way.
///
/// `tiny_http`'s own responder holds chunks back until they fill a buffer, so the pieces are
/// written through the request's writer with a flush each.
pub struct ChunkedResponse {
    writer: Box<dyn Write + Send>,
    proxy: Arc<Proxy>,
    peer: Option<SocketAddr>,
}

impl ChunkedResponse {
    /// Writes the head of the answer.
    ///
    /// # Errors
    ///
    /// What the system says if the caller broke off.
    pub fn start(
        mut writer: Box<dyn Write + Send>,
        proxy: Arc<Proxy>,
        peer: Option<SocketAddr>,
        content: &str,
    ) -> io::Result<Self> {
        write!(writer, "HTTP/1.1 200 OK\r\nContent-Type: {content}\r\n")?;
        write!(
            writer,
            "Cache-Control: no-cache\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        writer.flush()?;
        Ok(Self {
            writer,
            proxy: proxy,
            peer: peer,
        })
    }

    /// Says whether the caller still holds the connection.
    pub fn is_connected(&self) -> bool {
        self.peer.is_none_or(|link| self.proxy.is_open(link))
    }

    /// Sends one piece.
    ///
    /// # Errors
    ///
    /// What the system says if the caller broke off.
    pub fn send(&mut self, piece: &str) -> io::Result<()> {
        if !self.is_connected() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        write!(self.writer, "{:x}\r\n{piece}\r\n", piece.len())?;
        self.writer.flush()
    }

    /// Ends the answer as whole.
    ///
    /// # Errors
    ///
    /// What the system says if the caller broke off.
    pub fn finish(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }

    /// Cuts the connection in the middle of the answer.
    pub fn abort(self) {
        if let Some(link) = self.peer {
            self.proxy.close_after_flush(link);
        }
    }
}
