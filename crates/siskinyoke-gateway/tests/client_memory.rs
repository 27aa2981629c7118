//! Budgets of the memory that clients use, and the channel of responses that count towards them.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::Wake;
use std::task::Waker;

use tokio::runtime::Builder;

use siskinyoke_gateway::chunk_channel;
use siskinyoke_gateway::memory_budget::MemoryBudget;

const LIMIT_BYTES: usize = 1_000;

/// Counts how often a task is woken.
#[derive(Default)]
struct WakeCount(AtomicUsize);

impl Wake for WakeCount {
    fn wake(self: Arc<Self>) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

#[test]
fn a_part_of_a_budget_counts_towards_both_limits() {
    let whole = MemoryBudget::new(LIMIT_BYTES);
    let part = whole.part(LIMIT_BYTES / 2);
    assert!(part.reserve(LIMIT_BYTES / 2 + 1).is_err());
    assert_eq!((whole.held(), part.held()), (0, 0));
    let held = part.reserve(LIMIT_BYTES / 2).unwrap();
    assert!(whole.reserve(LIMIT_BYTES / 2 + 1).is_err());
    drop(held);
    assert!(whole.reserve(LIMIT_BYTES).is_ok());
}

// Guards against tasks that wait for memory and wake each other, which keeps the thread busy.
#[test]
fn a_reservation_that_fails_wakes_no_task_that_waits_for_memory() {
    let runtime = Builder::new_current_thread().enable_time().build().unwrap();
    let _entered = runtime.enter();
    let whole = MemoryBudget::new(LIMIT_BYTES);
    let part = whole.part(LIMIT_BYTES);
    let held = part.reserve(LIMIT_BYTES).unwrap();
    let wake_count = Arc::new(WakeCount::default());
    let waker = Waker::from(wake_count.clone());
    let mut context = Context::from_waker(&waker);
    let mut waiting = pin!(part.reserve_when_available(1));
    assert!(waiting.as_mut().poll(&mut context).is_pending());
    assert!(part.reserve(1).is_err());
    assert!(whole.reserve(1).is_err());
    assert_eq!(wake_count.0.load(Ordering::Relaxed), 0);
    drop(held);
    assert_eq!(wake_count.0.load(Ordering::Relaxed), 1);
    assert!(waiting.as_mut().poll(&mut context).is_ready());
}

// Guards against chunks that count only until they are passed to the connection.
#[test]
fn a_chunk_counts_until_it_is_dropped() {
    let budget = MemoryBudget::new(LIMIT_BYTES);
    let (sender, mut receiver) = chunk_channel::channel(&budget, &budget);
    let mut context = Context::from_waker(Waker::noop());
    assert!(pin!(sender.send(&[0; 100])).poll(&mut context).is_ready());
    let Poll::Ready(Some(Some(chunk))) = receiver.poll_recv(&mut context) else {
        panic!("no chunk arrived");
    };
    assert_eq!(budget.held(), 100);
    drop(chunk);
    assert_eq!(budget.held(), 0);
}

// Guards against responses whose chunks are limited by number and not by size.
#[test]
fn large_chunks_wait_until_the_client_has_taken_those_before() {
    const CHUNK_BYTES: usize = 60_000;
    let budget = MemoryBudget::new(usize::MAX);
    let (sender, mut receiver) = chunk_channel::channel(&budget, &budget);
    let mut context = Context::from_waker(Waker::noop());
    let chunk = vec![0; CHUNK_BYTES];
    assert!(pin!(sender.send(&chunk)).poll(&mut context).is_ready());
    let mut second = pin!(sender.send(&chunk));
    assert!(second.as_mut().poll(&mut context).is_pending());
    drop(receiver.poll_recv(&mut context));
    assert!(second.as_mut().poll(&mut context).is_ready());
}

// Guards against an end mark that is lost because the channel is full.
#[test]
fn the_end_of_a_response_follows_as_many_chunks_as_the_window_allows() {
    let budget = MemoryBudget::new(usize::MAX);
    let (sender, mut receiver) = chunk_channel::channel(&budget, &budget);
    let mut context = Context::from_waker(Waker::noop());
    let mut count = 0;
    while pin!(sender.send(b"x")).poll(&mut context).is_ready() {
        count += 1;
    }
    sender.finish();
    let mut held = Vec::new();
    for _ in 0..count {
        let Poll::Ready(Some(Some(chunk))) = receiver.poll_recv(&mut context) else {
            panic!("no chunk arrived");
        };
        held.push(chunk);
    }
    assert!(matches!(
        receiver.poll_recv(&mut context),
        Poll::Ready(Some(None))
    ));
}
