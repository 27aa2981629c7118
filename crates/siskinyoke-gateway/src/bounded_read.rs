//! Reads a limited number of bytes at once.

use std::io::Result;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// The most bytes that are read at once. The HTTP library's buffers grow with what arrives at once,
/// and are kept for as long as their content is.
const MAX_READ_BYTES: usize = 16 * 1024;

/// Reads a limited number of bytes, and returns how many.
pub fn poll_read(
    stream: &mut TcpStream,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<Result<usize>> {
    let room = buffer.remaining().min(MAX_READ_BYTES);
    let mut part = ReadBuf::new(buffer.initialize_unfilled_to(room));
    ready!(Pin::new(stream).poll_read(context, &mut part))?;
    let length = part.filled().len();
    buffer.advance(length);
    Poll::Ready(Ok(length))
}
