//! Attempts whose endpoint sends nothing for longer than the stall timeout.

use std::future::Future;
use std::pin::Pin;

use tokio::time::timeout;

use crate::assigned_slot::AssignedSlot;
use crate::permit::Permit;
use siskinyoke_dispatch::stall_timeout::STALL_CHECK_INTERVAL;

// Waits for data of a stalled attempt. Returns a slot at another endpoint instead, and ends the
// attempt, as soon as the request can be moved there.
pub(super) async fn wait_or_move<T>(
    permit: &Permit,
    mut data: Pin<&mut impl Future<Output = T>>,
) -> Result<T, AssignedSlot> {
    loop {
        if let Some(slot) = permit.try_abandon() {
            return Err(slot);
        }
        if let Ok(data) = timeout(STALL_CHECK_INTERVAL.into(), data.as_mut()).await {
            return Ok(data);
        }
    }
}
