//! The chunks of a response on their way to its client, limited by their size.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;

use crate::held_bytes;
use crate::memory_budget::MemoryBudget;

/// The number of bytes of a response that may wait for the client. Above it, nothing more is read
/// from the endpoint.
const WINDOW_BYTES: u32 = 64 * 1024;

/// What a chunk takes of the window at least, which covers what is held beside its bytes.
const MIN_CHUNK_BYTES: u32 = 512;

/// The size up to which a chunk may use all memory, so that usual responses do not wait behind large
/// ones.
const SMALL_CHUNK_BYTES: usize = 4 * 1024;

/// Room for as many chunks as the window allows, and for the end of the response.
const CHANNEL_CAPACITY: usize = (WINDOW_BYTES / MIN_CHUNK_BYTES) as usize + 1;

/// The receiving end; `None` marks the end of the response.
pub type ChunkReceiver = mpsc::Receiver<Option<Bytes>>;

/// The sending end. Clones share it.
#[derive(Debug, Clone)]
pub struct ChunkSender {
    sender: mpsc::Sender<Option<Bytes>>,
    window: Arc<Semaphore>,
    memory: MemoryBudget,
    large: MemoryBudget,
}

/// Creates a channel whose chunks are counted towards a budget until they have been written to the
/// client's connection: small ones towards `memory`, others towards `large`.
pub fn channel(memory: &MemoryBudget, large: &MemoryBudget) -> (ChunkSender, ChunkReceiver) {
    let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
    let sender = ChunkSender {
        sender,
        window: Arc::new(Semaphore::new(WINDOW_BYTES as usize)),
        memory: memory.clone(),
        large: large.clone(),
    };
    (sender, receiver)
}

impl ChunkSender {
    /// Sends a chunk as soon as the client has taken enough of those before.
    ///
    /// A receiver that is closed discards it.
    pub async fn send(&self, chunk: &[u8]) {
        let permit = self.acquire(chunk.len()).await;
        let budget = if chunk.len() <= SMALL_CHUNK_BYTES {
            &self.memory
        } else {
            &self.large
        };
        let memory = budget.reserve_when_available(chunk.len()).await;
        // A slice would keep the whole buffer into which it was received, which may be many times its
        // size.
        let chunk = Bytes::copy_from_slice(chunk);
        self.pass_on(Some(held_bytes::hold(chunk, (memory, permit))));
    }

    /// Sends a chunk whose memory is counted already.
    pub async fn send_counted(&self, chunk: Bytes) {
        let permit = self.acquire(chunk.len()).await;
        self.pass_on(Some(held_bytes::hold(chunk, permit)));
    }

    /// Sends the end of the response. Without it the response would look truncated.
    pub fn finish(&self) {
        self.pass_on(None);
    }

    /// Completes when the client has disconnected.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }

    async fn acquire(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        let count = bytes.clamp(MIN_CHUNK_BYTES, WINDOW_BYTES);
        let permit = self.window.clone().acquire_many_owned(count);
        // It fails only if the semaphore is closed.
        permit.await.ok()
    }

    // The window keeps the channel from being full.
    fn pass_on(&self, chunk: Option<Bytes>) {
        // A closed receiver ends the job.
        drop(self.sender.try_send(chunk));
    }
}
