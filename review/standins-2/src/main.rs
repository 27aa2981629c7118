//! Plays the cases of the second review that are scripts.

mod client;
mod crash_dark;
mod crash_document;
mod crash_requests;
mod gateway;
mod http;
mod json;
mod random;
mod record;
mod server;
mod store;

use std::path::Path;
use std::process::ExitCode;

use crate::crash_requests::Restart;

/// The exit code of a case that could not run.
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: review-standins-2 CASE FOLDER");
        return ExitCode::from(NOT_RUN);
    };
    let folder = Path::new(folder);
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let result = match case.as_str() {
        "kill-all" => crash_requests::play(folder, Restart::KillAll, trouble),
        "dark" => crash_dark::play(folder, trouble),
        "document" => crash_document::play(folder, trouble),
        "roll" => crash_requests::play(folder, Restart::Roll, trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("the case could not run: {err}");
            ExitCode::from(NOT_RUN)
        }
    }
}
