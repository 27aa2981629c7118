//! Errors that occur before a response is received.

use quick_error::quick_error;

quick_error! {
    /// An error that occurs before a response is received.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ClientError {
        /// No address responds.
        Unreachable(detail: String) {
            display("no address responds: {detail}; hint: pass other addresses with --address")
        }
        /// An input cannot be read.
        Input(detail: String) {
            display("cannot read {detail}")
        }
    }
}
