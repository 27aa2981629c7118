//! Why a report could not be made.

use std::io;

use quick_error::quick_error;

use siskinyoke_control::usage::DateError;

quick_error! {
    /// A report that could not be made.
    #[derive(Debug)]
    pub enum ReportError {
        /// No daemon answers.
        NoDaemon(failure: String) {
            display("no daemon answers ({failure}); hint: give addresses with --address")
        }
        /// A daemon's answer cannot be read.
        Unreadable(detail: String) {
            display("the answer cannot be read ({detail}); hint: use a tool of the daemons' version")
        }
        /// A date cannot be read.
        Date(err: DateError) {
            from()
            display("{err}")
        }
        /// The page cannot be drawn.
        Plot(detail: String) {
            display("the plots cannot be drawn: {detail}; hint: leave --html out")
        }
        /// The report cannot be written.
        Output(err: io::Error) {
            from()
            display("the report cannot be written: {err}; hint: check the file's directory")
        }
    }
}
