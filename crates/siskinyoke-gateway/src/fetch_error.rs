//! Why something could not be fetched from a peer.

use quick_error::quick_error;

use crate::store::StoreError;

quick_error! {
    /// Why something could not be fetched from a peer.
    #[derive(Debug)]
    pub enum FetchError {
        /// The call failed.
        Call(err: StoreError) {
            display("{err}")
            source(err)
            from()
        }
        /// The response cannot be decoded.
        Format(err: postcard::Error) {
            display("response cannot be decoded: {err}")
            source(err)
            from()
        }
        /// The configuration cannot be decompressed.
        Compression(err: std::io::Error) {
            display("configuration cannot be decompressed: {err}")
            source(err)
            from()
        }
        /// The configuration was not applied.
        NotApplied {
            display("configuration was not applied: it is invalid, or not newer")
        }
    }
}
