//! Errors of the operators' commands.

use std::path::PathBuf;

use quick_error::quick_error;

use siskinyoke_interface::FormatError;

quick_error! {
    /// An error of an operator's command. Unless noted, the command changed nothing.
    #[derive(Debug)]
    pub enum OperateError {
        /// A file cannot be read.
        Read(path: PathBuf, err: std::io::Error) {
            display("{}: {err}", path.display())
            source(err)
        }
        /// A document is invalid.
        InvalidDocument(name: String, err: FormatError) {
            display("{name}: {err}")
            source(err)
        }
        /// A configuration, preset, endpoint or rollout does not exist.
        NotFound(name: String, hint: &'static str) {
            display("{name} does not exist; hint: {hint}")
        }
        /// Another operator changed the value meanwhile.
        Conflict(revision: u64) {
            display("another change was made first (revision {revision} is in force); \
                     hint: show the configuration and repeat the change")
        }
        /// The store did not respond; a write may have taken effect.
        Store(detail: String) {
            display("{detail}; a write may have taken effect: show what is in force before \
                     repeating the command")
            from()
        }
    }
}
