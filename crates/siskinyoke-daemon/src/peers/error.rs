//! What can go wrong at the start of the transport.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

quick_error! {
    /// The transport could not be started.
    #[derive(Debug)]
    pub enum PeersError {
        /// The address for peers cannot be used.
        Bind(address: SocketAddr, err: io::Error) {
            display("cannot listen for peers on {address}: {err}; hint: is another daemon running there?")
            source(err)
        }
        /// The threads could not be started.
        Runtime(err: io::Error) {
            display("cannot start the peers' threads: {err}; hint: check the limit on threads")
            source(err)
        }
        /// The certificate could not be made.
        Certificate(err: rcgen::Error) {
            display("cannot make a certificate: {err}; hint: check the source of randomness")
            source(err)
        }
        /// The encryption could not be set up.
        Tls(detail: String) {
            display("cannot set up encryption between peers: {detail}")
        }
    }
}
