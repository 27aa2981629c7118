//! Reads request bodies within limits of size, time and memory.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::timeout;

use crate::counted_buffer::CountedBuffer;
use crate::memory_budget::MemoryBudget;
use crate::memory_budget::OutOfMemoryError;
use siskinyoke_base::Millis;

/// Why a request body was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than allowed.
    TooLarge,
    /// It did not arrive in time.
    TimedOut,
    /// Its sender broke off or sent an invalid body.
    Interrupted,
    /// The memory for bodies is used up.
    OutOfMemory,
}

impl From<OutOfMemoryError> for BodyError {
    fn from(_: OutOfMemoryError) -> Self {
        Self::OutOfMemory
    }
}

/// Reads a body of at most `max_bytes` within a time limit.
///
/// Memory for an announced length is reserved at once, and any other while the body arrives. It
/// stays reserved until the last clone of the body is dropped.
///
/// # Errors
///
/// Why the body was not accepted.
pub async fn read<B>(
    budget: &MemoryBudget,
    max_bytes: usize,
    time_limit: Millis,
    body: B,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let expected = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if expected > max_bytes {
        return Err(BodyError::TooLarge);
    }
    let buffer = CountedBuffer::with_capacity(budget, expected)?;
    let reading = read_into(buffer, max_bytes, body);
    let read = timeout(Duration::from(time_limit), reading).await;
    read.unwrap_or(Err(BodyError::TimedOut))
}

async fn read_into<B>(
    mut buffer: CountedBuffer,
    max_bytes: usize,
    mut body: B,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Interrupted)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        buffer.extend(&data)?;
    }
    Ok(buffer.freeze())
}
