//! What can go wrong before any answer came.

use quick_error::quick_error;

quick_error! {
    /// No answer could be had.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ClientError {
        /// No address answers.
        Unreachable(detail: String) {
            display("no address answers: {detail}; hint: give other addresses with --address")
        }
        /// An answer cannot be read.
        Malformed(detail: String) {
            display("an answer cannot be read: {detail}")
        }
    }
}
