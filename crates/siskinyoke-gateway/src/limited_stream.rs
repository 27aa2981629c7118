//! A socket that fails once too many bytes arrive that are a part of no response body.

use std::cell::Cell;
use std::io::Error;
use std::io::IoSlice;
use std::io::Result;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::bounded_read;

/// The maximum number of bytes of a response that may arrive beside the body that was passed on:
/// its head, the framing of the chunks, and what is buffered. It exceeds the HTTP client's buffer.
const MAX_FRAMING_BYTES: usize = 2 * 1024 * 1024;

/// The bytes of a response that have arrived and are a part of no body that was passed on.
#[derive(Debug, Default)]
pub struct FramingBytes(Cell<usize>);

impl FramingBytes {
    /// Records that a request is sent, whose response arrives next.
    pub fn begin_response(&self) {
        self.0.set(0);
    }

    /// Records that bytes of the body are passed on.
    pub fn body_received(&self, bytes: usize) {
        self.0.set(self.0.get().saturating_sub(bytes));
    }

    fn received(&self, bytes: usize) -> Result<()> {
        let count = self.0.get() + bytes;
        self.0.set(count);
        if count > MAX_FRAMING_BYTES {
            return Err(Error::other(
                "too many bytes arrived that are a part of no response body",
            ));
        }
        Ok(())
    }
}

/// Whether bytes of a request have not been passed to the operating system yet.
///
/// The HTTP client takes another request as soon as it has buffered the one before.
#[derive(Debug, Default)]
pub struct UnsentBytes(Cell<bool>);

impl UnsentBytes {
    /// Returns whether there are such bytes.
    pub fn any(&self) -> bool {
        self.0.get()
    }
}

/// What a connection sends and receives.
#[derive(Debug, Clone, Default)]
pub struct StreamState {
    /// What has arrived that is a part of no response body.
    pub framing: Rc<FramingBytes>,
    /// What has not been sent.
    pub unsent: Rc<UnsentBytes>,
}

/// A socket that fails once too many bytes arrive that are a part of no response body, and that
/// records whether everything has been sent.
///
/// The HTTP client reads the size of a chunk for as long as its digits arrive.
#[derive(Debug)]
pub struct LimitedStream {
    stream: TcpStream,
    state: StreamState,
}

impl LimitedStream {
    /// Wraps a socket.
    pub fn new(stream: TcpStream, state: StreamState) -> Self {
        Self { stream, state }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let this = self.get_mut();
        let length = ready!(bounded_read::poll_read(&mut this.stream, context, buffer))?;
        Poll::Ready(this.state.framing.received(length))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let this = self.get_mut();
        this.state.unsent.0.set(true);
        Pin::new(&mut this.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let this = self.get_mut();
        this.state.unsent.0.set(true);
        Pin::new(&mut this.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let this = self.get_mut();
        ready!(Pin::new(&mut this.stream).poll_flush(context))?;
        // The HTTP client flushes once it has written all that it had buffered.
        this.state.unsent.0.set(false);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
