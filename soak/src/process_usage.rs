//! What a process holds, as the operating system counts it.

use std::fs;

use rustix::process::Pid;
use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::prlimit;

/// What a process holds, as the operating system counts it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessUsage {
    /// The most memory that it has held, in KiB.
    pub peak_kib: u64,
    /// The memory that it holds, in KiB.
    pub held_kib: u64,
    /// The number of its open descriptors.
    pub descriptors: usize,
}

impl ProcessUsage {
    /// Returns what a process holds, or `None` if it has ended.
    pub fn of(process: u32) -> Option<Self> {
        let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
        let kib = |name: &str| {
            let row = status.lines().find_map(|it| it.strip_prefix(name))?;
            row.split_whitespace().next()?.parse().ok()
        };
        Some(Self {
            peak_kib: kib("VmHWM:")?,
            held_kib: kib("VmRSS:")?,
            descriptors: fs::read_dir(format!("/proc/{process}/fd")).ok()?.count(),
        })
    }
}

/// Sets how many descriptors a process may open.
///
/// # Panics
///
/// If the operating system refuses it.
pub fn limit_descriptors(process: u32, count: u64) {
    let process = Pid::from_raw(i32::try_from(process).unwrap());
    let limit = Rlimit {
        current: Some(count),
        maximum: Some(count),
    };
    prlimit(process, Resource::Nofile, limit).unwrap();
}
