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
            display("cannot read {}: {err}", path.display())
            source(err)
        }
        /// A document is invalid.
        InvalidDocument(name: String, err: FormatError) {
            display("{name} is invalid: {err}")
            source(err)
        }
        /// A configuration, preset, endpoint or rollout does not exist.
        NotFound(name: String, hint: &'static str) {
            display("{name} does not exist; hint: {hint}")
        }
        /// The value was changed meanwhile, or a file's revision does not follow the one in force.
        Conflict(revision: u64) {
            display("another change was made first (revision {revision} is in force); \
                     hint: show what is in force and base the change on it")
        }
        /// The store did not respond or reported an error; a write may have taken effect.
        Store(detail: String) {
            display("{detail}; a write may have taken effect: show what is in force before \
                     repeating the command")
            from()
        }
    }
}
