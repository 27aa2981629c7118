//! What a process holds, as the operating system counts it.

use std::fs;

use rustix::process::Pid;
use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::getrlimit;
use rustix::process::prlimit;
use rustix::process::setrlimit;

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

/// Lets this process, and those that it starts, open as many descriptors as it may allow itself.
///
/// # Panics
///
/// If the operating system refuses it.
pub fn raise_descriptor_limit() {
    let maximum = getrlimit(Resource::Nofile).maximum;
    let limit = Rlimit {
        current: maximum,
        maximum,
    };
    setrlimit(Resource::Nofile, limit).unwrap();
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
