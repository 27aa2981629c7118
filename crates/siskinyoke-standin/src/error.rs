//! What keeps a stand-in from starting or a load from running.

use quick_error::quick_error;

quick_error! {
    /// A fault of the stand-ins' own running.
    #[derive(Debug)]
    pub enum StandinError {
        /// An address could not be listened on.
        Listen(address: String, detail: String) {
            display("cannot listen on {address}: {detail}; choose a free address, or port 0")
        }
        /// A load file or list of instances cannot be used.
        File(detail: String) {
            display("cannot use the file: {detail}; see docs/standins.md for its fields")
        }
        /// A fleet in one process did not come up.
        Fleet(detail: String) {
            display("the fleet did not come up: {detail}; hint: see the daemons' log")
        }
    }
}
