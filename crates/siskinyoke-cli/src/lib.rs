//! The commands of the command-line tool `siskinyoke`.

pub mod caller;
pub mod check;
pub mod context;
pub mod explain;
pub mod logs;
pub mod operate;
pub mod report;
pub mod shares;
pub mod status;
mod summary;
