//! Reading request bodies within a memory budget.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;

use siskinyoke_base::Millis;
use siskinyoke_gateway::memory_budget::MemoryBudget;
use siskinyoke_gateway::request_body;
use siskinyoke_gateway::request_body::BodyError;

const TIME_LIMIT: Millis = Millis(10_000);

/// A body without a stated length that arrives in parts.
struct PartedBody {
    parts: VecDeque<Bytes>,
    budget: MemoryBudget,
    received: usize,
}

impl PartedBody {
    fn new(count: usize, size: usize, budget: &MemoryBudget) -> Self {
        Self {
            parts: (0..count).map(|_| Bytes::from(vec![b'x'; size])).collect(),
            budget: budget.clone(),
            received: 0,
        }
    }
}

impl Body for PartedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let this = self.get_mut();
        assert!(this.budget.held() >= this.received, "{}", this.received);
        let part = this.parts.pop_front();
        this.received += part.as_ref().map_or(0, Bytes::len);
        Poll::Ready(part.map(|it| Ok(Frame::data(it))))
    }
}

async fn read(budget: &MemoryBudget, count: usize, size: usize) -> Result<Bytes, BodyError> {
    let body = PartedBody::new(count, size, budget);
    request_body::read(budget, 1_000_000, TIME_LIMIT, body).await
}

// Guards against bodies in chunks that are not counted while they arrive.
#[tokio::test]
async fn a_body_in_parts_is_counted_while_it_arrives_and_until_it_is_dropped() {
    for size in [1, 64, 10_000] {
        let budget = MemoryBudget::new(1_000_000);
        let body = read(&budget, 300_000 / size, size).await.unwrap();
        assert_eq!(budget.held(), body.len(), "{size}");
        let copy = body.clone();
        drop(body);
        assert_eq!(budget.held(), copy.len(), "{size}");
        drop(copy);
        assert_eq!(budget.held(), 0, "{size}");
    }
}

#[tokio::test]
async fn bodies_beyond_the_budget_are_refused_and_leave_nothing_behind() {
    let budget = MemoryBudget::new(100_000);
    let first = read(&budget, 70, 1_000).await.unwrap();
    assert_eq!(read(&budget, 70, 1_000).await, Err(BodyError::OutOfMemory));
    assert!(read(&budget, 20, 1_000).await.is_ok());
    drop(first);
    assert_eq!(budget.held(), 0);
    assert!(read(&budget, 70, 1_000).await.is_ok());
}

#[tokio::test]
async fn a_body_over_the_size_limit_is_refused_as_too_large() {
    let budget = MemoryBudget::new(10_000_000);
    assert_eq!(read(&budget, 2, 600_000).await, Err(BodyError::TooLarge));
    assert_eq!(budget.held(), 0);
}
