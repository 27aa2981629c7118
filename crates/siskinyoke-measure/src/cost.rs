//! Processor time and memory of this process, as the system counts them.

use std::fs;

/// Bytes in a page of memory on the machines that this runs on.
const PAGE: u64 = 4096;

/// Ticks of the clock behind `/proc/self/stat` in a second.
const TICKS: f64 = 100.0;

/// Calls between two looks at the clock.
const BATCH: u64 = 100;

/// Processor time that is enough for a figure, in nanoseconds.
const ENOUGH: u64 = 400_000_000;

/// Returns the processor time of this thread in nanoseconds.
pub fn thread_nanos() -> u64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|word| word.parse().ok()).unwrap_or(0)
}

/// Returns the microseconds of this thread's processor time that each call of `step` takes.
///
/// Some systems count in steps of 4 ms, so it is called until a hundred of them have gone.
pub fn micros_each(mut step: impl FnMut()) -> f64 {
    let start = thread_nanos();
    let mut calls = 0_u64;
    loop {
        for _ in 0..BATCH {
            step();
        }
        calls += BATCH;
        let nanos = thread_nanos() - start;
        if nanos > ENOUGH {
            return nanos as f64 / 1000.0 / calls as f64;
        }
    }
}

/// Returns the processor time of all threads in seconds, to a hundredth.
pub fn process_secs() -> f64 {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = text
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    // The 14th and 15th fields of the line, counted from behind the process's name.
    let ticks = |at: usize| fields.get(at).and_then(|word| word.parse::<f64>().ok());
    (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS
}

/// Returns the memory in use, in bytes, to a page.
pub fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|word| word.parse::<u64>().ok()).unwrap_or(0) * PAGE
}

/// Returns the bytes that `make` adds for each of `count` copies, and drops them.
pub fn bytes_each<T>(count: usize, make: impl Fn(usize) -> T) -> u64 {
    let before = resident();
    let copies: Vec<T> = (0..count).map(make).collect();
    let after = resident();
    drop(std::hint::black_box(copies));
    after.saturating_sub(before) / count as u64
}
