//! Responses with chunked transfer encoding whose chunks are sent at once.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;

use tiny_http::Header;

use crate::proxy::Proxy;

/// A chunked response in progress.
///
/// `tiny_http`'s own responder holds chunks back until they fill a buffer. The chunks are therefore
/// written to the request's writer and flushed one by one.
pub struct ChunkedResponse {
    writer: Box<dyn Write + Send>,
    proxy: Arc<Proxy>,
    peer: Option<SocketAddr>,
}

impl ChunkedResponse {
    /// Sends the status line and the headers.
    ///
    /// # Errors
    ///
    /// An I/O error if the caller has closed the connection.
    pub fn start(
        mut writer: Box<dyn Write + Send>,
        proxy: Arc<Proxy>,
        peer: Option<SocketAddr>,
        content_type: &str,
        headers: &[Header],
    ) -> io::Result<Self> {
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\n"
        )?;
        for header in headers {
            write!(writer, "{header}\r\n")?;
        }
        write!(
            writer,
            "Cache-Control: no-cache\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        writer.flush()?;
        Ok(Self {
            writer,
            proxy,
            peer,
        })
    }

    /// Returns whether the caller's connection is still open.
    pub fn is_connected(&self) -> bool {
        self.peer.is_none_or(|peer| self.proxy.is_open(peer))
    }

    /// Sends one chunk.
    ///
    /// # Errors
    ///
    /// An I/O error if the caller has closed the connection.
    pub fn send(&mut self, chunk: &str) -> io::Result<()> {
        if !self.is_connected() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        write!(self.writer, "{:x}\r\n{chunk}\r\n", chunk.len())?;
        self.writer.flush()
    }

    /// Sends the last chunk, which marks the response as complete.
    ///
    /// # Errors
    ///
    /// An I/O error if the caller has closed the connection.
    pub fn finish(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }

    /// Closes the connection and leaves the response incomplete.
    pub fn abort(self) {
        if let Some(peer) = self.peer {
            self.proxy.close_after_flush(peer);
        }
    }
}
