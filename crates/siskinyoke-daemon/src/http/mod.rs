//! HTTP towards callers: listening, reading requests, writing answers.

mod answer;
mod listener;
mod read;

pub use listener::Listener;
pub use listener::ListenerParts;
