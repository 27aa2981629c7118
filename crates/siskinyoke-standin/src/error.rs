//! Errors of the stand-ins and of the load generator.

use quick_error::quick_error;

quick_error! {
    /// An error that prevents a stand-in from starting or a load test from running.
    #[derive(Debug)]
    pub enum StandinError {
        /// An address cannot be listened on.
        Listen(address: String, detail: String) {
            display("cannot listen on {address}: {detail}; hint: choose a free address, or port 0")
        }
        /// A load file or a list of instances is unreadable or invalid.
        File(detail: String) {
            display("cannot use the file: {detail}; hint: its fields are in docs/standins.md")
        }
        /// A fleet in one process does not start.
        Fleet(detail: String) {
            display("the fleet did not start: {detail}; hint: see the instances' logs")
        }
    }
}
