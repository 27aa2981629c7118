//! Versions of a service that come and go while an instance does not see it.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::ops::Range;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use crate::proxy::Cut;
use crate::run::Fleet;

/// The probability of a step in which a version comes and goes.
const VERSION_PROBABILITY: f64 = 0.04;

/// The number of endpoints of a further version, more than the first one has, so that most streams
/// begin there.
const JOINED_COUNT: usize = 3;

/// Time from the entries of endpoints until callers begin streams. Instances use endpoints that join
/// after less than 0.7 s.
const JOIN_TIME_MS: Range<u64> = 200..700;

/// How long callers use the endpoints before the outage ends or they leave.
const SERVING_TIME_MS: Range<u64> = 300..1_000;

/// How long callers go on after the outage.
const TIME_AFTER_OUTAGE: Duration = Duration::from_millis(700);

/// The longest time for which endpoints are draining before they leave.
const MAX_DRAIN_TIME_MS: u64 = 500;

/// The source address of the instances' connections to the store.
const STORE_CLIENT: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Why an instance does not see that endpoints join or leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outage {
    /// The process is suspended.
    Suspended,
    /// No byte passes between it and the store.
    Unlinked,
    /// Both.
    Both,
}

impl Fleet {
    // Lets a version come and go, or does nothing.
    pub(super) fn run_version_step(&mut self, rng: &mut ChaCha8Rng) {
        if rng.random_bool(VERSION_PROBABILITY) {
            self.run_version(rng);
        }
    }

    // Lets a version come and go while there is no other fault.
    pub(super) fn run_last_version(&mut self, rng: &mut ChaCha8Rng) {
        if self.chat.is_used() {
            self.run_version(rng);
        }
    }

    // Lets endpoints of a further version of the service join, serve streams and leave, beside an
    // outage of an instance that begins before they join and ends before or after they have left.
    fn run_version(&mut self, rng: &mut ChaCha8Rng) {
        let index = rng.random_range(0..self.instances.len());
        let outages = [Outage::Suspended, Outage::Unlinked, Outage::Both];
        let outage = *outages.choose(rng).unwrap_or(&outages[0]);
        let join_time = Duration::from_millis(rng.random_range(JOIN_TIME_MS));
        let serving_time = Duration::from_millis(rng.random_range(SERVING_TIME_MS));
        let drain_time = Duration::from_millis(rng.random_range(0..MAX_DRAIN_TIME_MS));
        let misses_departure = rng.random_bool(0.5);
        self.set_outage(index, outage, true);
        self.chat.join(JOINED_COUNT);
        self.write_chat_entries("ready");
        self.pause(join_time);
        self.chat.active.store(true, Ordering::Relaxed);
        self.pause(serving_time);
        if !misses_departure {
            self.set_outage(index, outage, false);
            self.pause(TIME_AFTER_OUTAGE);
        }
        self.write_chat_entries("draining");
        self.pause(drain_time);
        self.remove_chat_version();
        if misses_departure {
            self.set_outage(index, outage, false);
            self.pause(TIME_AFTER_OUTAGE);
        }
        self.chat.active.store(false, Ordering::Relaxed);
    }

    fn write_chat_entries(&mut self, state: &str) {
        for (key, entry) in self.chat.entries(state) {
            self.write(&key, Some(entry));
        }
    }

    fn remove_chat_version(&mut self) {
        let entries = self.chat.entries("draining");
        self.chat.stop_latest();
        for (key, _) in entries {
            self.write(&key, None);
        }
    }

    fn set_outage(&self, index: usize, outage: Outage, begins: bool) {
        if outage != Outage::Unlinked {
            let signal = if begins { Signal::STOP } else { Signal::CONT };
            self.instances[index].send_signal(signal);
        }
        if outage != Outage::Suspended {
            // What is held back arrives at the end, as after a partition of the network.
            let cut = begins.then_some(Cut::Silent);
            self.store_proxies[index].set_cut(STORE_CLIENT, cut);
        }
    }
}
