//! What can go wrong with an operator's command.

use std::io;

use quick_error::quick_error;

use siskinyoke_control::configuration::Fault;

quick_error! {
    /// What went wrong; each tells what to do next.
    #[derive(Debug)]
    pub enum OperatorError {
        /// The daemon refused; nothing was changed.
        Refused(code: u64, detail: String) {
            display("{code}: {detail}")
        }
        /// No daemon could be reached.
        Unreachable(detail: String) {
            display("no daemon could be reached and nothing was sent: {detail}; \
                     hint: give --address with a daemon's address for callers")
        }
        /// Whether the change took is not known.
        Unknown(id: String, hint: String, detail: String) {
            display("whether change {id} took is not known: {detail}; \
                     hint: ask with `siskinyoke change show {id}{hint}`")
        }
        /// A file cannot be read or breaks the check.
        File(path: String, faults: Vec<Fault>) {
            display("{path} was not sent:\n{}", lines(faults))
        }
        /// The command lacks something.
        Usage(detail: String) {
            display("{detail}")
        }
        /// The output or a file failed.
        Io(error: io::Error) {
            from()
            display("input or output failed: {error}")
        }
    }
}

impl OperatorError {
    /// Returns the exit code: 1 refused, 2 usage or invalid file, 3 outcome unknown.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused(..) | Self::Unreachable(_) => 1,
            Self::File(..) | Self::Usage(_) | Self::Io(_) => 2,
            Self::Unknown(..) => 3,
        }
    }
}

fn lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(|fault| format!("  {fault}")).collect();
    lines.join("\n")
}
