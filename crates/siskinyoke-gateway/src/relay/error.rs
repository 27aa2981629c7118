//! Errors of relayed requests.

use quick_error::quick_error;

quick_error! {
    /// A relayed request whose connection broke on this instance's lost links.
    #[derive(Debug)]
    pub enum LinkLostError {
        /// This instance has lost its links to the endpoint's service.
        LinkLost {
            display("the relay has lost its links to the endpoints of the service")
        }
    }
}
