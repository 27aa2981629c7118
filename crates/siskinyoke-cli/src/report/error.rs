//! Errors of the report commands.

use std::io;

use quick_error::quick_error;

use crate::logs::LogError;

quick_error! {
    /// An error of a report command.
    #[derive(Debug)]
    pub enum ReportError {
        /// A log cannot be read.
        Log(err: LogError) {
            from()
            display("{err}")
        }
        /// No log line records the end of a request.
        Empty {
            display("no log line records the end of a request; hint: pass the logs of siskinyoke-gateway")
        }
        /// The objective is out of range and leaves no error budget.
        Objective {
            display("the objective must be at least 0 and less than 1, such as 0.99")
        }
        /// The plots cannot be drawn.
        Plot(detail: String) {
            display("cannot draw the plots: {detail}; hint: omit --html")
        }
        /// The report cannot be written.
        Output(err: io::Error) {
            from()
            display("cannot write the report: {err}; hint: check the directory of the file")
        }
    }
}
