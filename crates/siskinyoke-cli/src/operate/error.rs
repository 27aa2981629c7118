//! Why an operator's command changed nothing.

use std::path::PathBuf;

use quick_error::quick_error;

use siskinyoke_interface::FormatError;

quick_error! {
    /// Why a command of an operator changed nothing, unless it says otherwise.
    #[derive(Debug)]
    pub enum OperateError {
        /// A file cannot be read.
        Read(path: PathBuf, err: std::io::Error) {
            display("{}: {err}", path.display())
            source(err)
        }
        /// A document cannot be used.
        InvalidDocument(what: String, err: FormatError) {
            display("{what}: {err}")
            source(err)
        }
        /// Something is not there.
        NotFound(what: String, hint: &'static str) {
            display("{what} is not known; {hint}")
        }
        /// Another operator changed it meanwhile.
        Conflict(revision: u64) {
            display("another change came first (revision {revision} is in force): \
                     show the configuration and make the change again")
        }
        /// The store did not answer; a write may have taken effect.
        Store(detail: String) {
            display("{detail}; show what is in force before sending it again")
            from()
        }
    }
}
