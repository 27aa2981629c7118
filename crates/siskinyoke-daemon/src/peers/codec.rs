//! Messages framed by their length on a stream.

use tokio_util::codec::LengthDelimitedCodec;

/// The longest message: a request's body and a configuration page stay far below it, and a
/// peer gone wrong cannot make a daemon hold more.
const MOST_BYTES: usize = 16 * 1024 * 1024;

/// Makes the codec of both directions.
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MOST_BYTES)
        .new_codec()
}
