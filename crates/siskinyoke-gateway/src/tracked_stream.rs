//! A socket that records when it sends, tells whether bytes of a request have been received, and
//! resets its connection if that ends before a response whose end nothing else marks.

use std::io::IoSlice;
use std::io::Result;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use rustix::io::ioctl_fionread;
use rustix::net::sockopt::set_socket_linger;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::bounded_read;
use crate::clock::BootClock;
use crate::connection_activity::ConnectionActivity;
use siskinyoke_base::Clock;

/// A socket that records when it sends, and tells whether bytes of a request have been received.
///
/// A response whose end nothing marks is complete once its connection ends, so the connection is
/// reset unless it is shut down after the response. The operating system does so as well when the
/// process is killed.
#[derive(Debug)]
pub struct TrackedStream {
    stream: TcpStream,
    // Bytes that were read before and are read again.
    unread: Bytes,
    // Whether closing the socket resets the connection.
    resets: bool,
    activity: Rc<ConnectionActivity>,
}

impl TrackedStream {
    /// Wraps a socket.
    pub fn new(stream: TcpStream, activity: Rc<ConnectionActivity>) -> Self {
        Self {
            stream,
            unread: Bytes::new(),
            resets: false,
            activity,
        }
    }

    /// Returns bytes that were read, so that they are read again before any others.
    pub fn unread(&mut self, bytes: Bytes) {
        debug_assert!(self.unread.is_empty());
        self.unread = bytes;
    }

    /// Returns whether the operating system holds bytes that have not been read.
    ///
    /// Asks the operating system, as the runtime may not have noticed them yet.
    ///
    /// # Errors
    ///
    /// The error of the system call.
    pub fn has_pending_bytes(&self) -> Result<bool> {
        Ok(ioctl_fionread(&self.stream)? > 0)
    }

    /// Returns whether bytes of a request were read and returned.
    pub fn has_unread_request(&self) -> bool {
        begins_request(&self.unread)
    }

    /// Waits until the runtime has noticed bytes that the operating system holds.
    ///
    /// # Errors
    ///
    /// The error of the socket.
    pub async fn readable(&self) -> Result<()> {
        self.stream.readable().await
    }

    /// Makes the connection be reset once it is closed, which discards what its client has not read.
    ///
    /// # Errors
    ///
    /// The error of the system call.
    pub fn discard_unread(&mut self) -> Result<()> {
        self.set_reset(true)
    }

    /// Sends bytes if there is room in the socket's buffer, without waiting for it.
    ///
    /// # Errors
    ///
    /// The error of the socket, for example if its client has closed it.
    pub fn send_now(&self, bytes: &[u8]) -> Result<usize> {
        self.stream.try_write(bytes)
    }

    // Records whether the operating system takes what is written.
    fn record_write(&self, result: Poll<Result<usize>>) -> Poll<Result<usize>> {
        match &result {
            Poll::Pending => self.activity.write_blocked(BootClock.now()),
            Poll::Ready(Ok(length)) => self.activity.written(*length, || BootClock.now()),
            Poll::Ready(Err(_)) => {}
        }
        result
    }

    // Selects how the connection ends if the socket is closed now.
    fn set_reset(&mut self, resets: bool) -> Result<()> {
        if self.resets != resets {
            set_socket_linger(&self.stream, resets.then_some(Duration::ZERO))?;
            self.resets = resets;
        }
        Ok(())
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let this = self.get_mut();
        let start = buffer.filled().len();
        if this.unread.is_empty() {
            let length = ready!(bounded_read::poll_read(&mut this.stream, context, buffer))?;
            let counted = this.activity.head_received(length);
            counted.map_err(std::io::Error::other)?;
        } else {
            let length = this.unread.len().min(buffer.remaining());
            buffer.put_slice(&this.unread[..length]);
            this.unread.advance(length);
        }
        if begins_request(&buffer.filled()[start..]) {
            this.activity.received(BootClock.now());
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let this = self.get_mut();
        this.activity.sending();
        this.set_reset(this.activity.ends_unmarked())?;
        let result = Pin::new(&mut this.stream).poll_write(context, bytes);
        this.record_write(result)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let this = self.get_mut();
        this.activity.sending();
        this.set_reset(this.activity.ends_unmarked())?;
        let result = Pin::new(&mut this.stream).poll_write_vectored(context, slices);
        this.record_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let this = self.get_mut();
        ready!(Pin::new(&mut this.stream).poll_flush(context))?;
        this.activity.flushed(BootClock.now());
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let this = self.get_mut();
        // Everything has been written, so the end of the connection is that of the response.
        this.set_reset(false)?;
        Pin::new(&mut this.stream).poll_shutdown(context)
    }
}

// Empty lines before a request are ignored, as some clients send one after a body.
fn begins_request(bytes: &[u8]) -> bool {
    bytes.iter().any(|it| !matches!(it, b'\r' | b'\n'))
}
