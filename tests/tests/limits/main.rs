//! The callers' side of a daemon: limits on input, each with its code, and streams.

mod content;
mod http;
mod pace;
mod size;
mod streaming;
mod world;
