//! Bytes that keep something, such as a reservation of memory, until the last use of them.

use bytes::Bytes;

/// Bytes, and what is held for them.
struct HeldBytes<T> {
    bytes: Bytes,
    _held: T,
}

impl<T> AsRef<[u8]> for HeldBytes<T> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns bytes that keep something until their last clone is dropped.
pub fn hold<T: Send + 'static>(bytes: Bytes, held: T) -> Bytes {
    Bytes::from_owner(HeldBytes { bytes, _held: held })
}
