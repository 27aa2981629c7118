//! What has to hold for requests with a prompt part that crashes endpoints, and for sound ones.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Endpoint;
use crate::poison::FIRST_PART;
use crate::poison::POISONED_PART;
use crate::poison::parts_header;
use crate::run::Fleet;

/// Time within which all instances in touch have to know of crashes.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// The number of crashes after which a part has to be known.
const KNOWN_CRASHES: usize = 5;

/// The number of requests with the part that may reach endpoints after that.
const MAX_LATE_REQUESTS: usize = 3;

/// The number of sound requests that are sent to each instance.
const SOUND_PROBE_COUNT: usize = 6;

/// The longest time until endpoints that crashed are back.
const RETURN_TIMEOUT: Duration = Duration::from_secs(4);

impl Fleet {
    /// Ends the requests with the part, checks what they did since the last process started, and
    /// waits until the endpoints are back. Instances may have lost what they saw before that.
    pub(super) fn check_prompt_parts(&mut self) -> Vec<String> {
        if !self.poisoned.load(Ordering::Relaxed) {
            return Vec::new();
        }
        let crashes = self.crashes_since(self.stable_since);
        let mut violations = Vec::new();
        // The last of the five crashes, or of fewer.
        let last = crashes.get(KNOWN_CRASHES - 1).or(crashes.last());
        if let Some(fifth) = crashes.get(KNOWN_CRASHES - 1) {
            let late = self.count_poisoned(*fifth + SETTLING_TIME);
            if late > MAX_LATE_REQUESTS {
                violations.push(format!(
                    "{late} requests with a part that crashes endpoints reached endpoints later \
                     than 3 s after the fifth crash"
                ));
            }
        }
        let settled = last.is_none_or(|it| it.elapsed() > 2 * SETTLING_TIME);
        if settled {
            violations.extend(self.check_sound_parts());
        }
        self.poisoned.store(false, Ordering::Relaxed);
        self.wait_for_endpoints();
        violations
    }

    /// Writes the entries of endpoints that have come back from a crash.
    pub(super) fn register_returned(&mut self) {
        for index in 0..self.endpoints.len() {
            if self.endpoints[index].take_return() {
                let endpoint = &self.endpoints[index];
                let entry = endpoint.entry_at(self.endpoint_proxies[index].address, "ready");
                let key = format!("servers/{}", endpoint.id);
                self.write(&key, Some(entry));
            }
        }
    }

    // Checks that at least half of the sound requests with the same first part are served.
    fn check_sound_parts(&self) -> Option<String> {
        let mut served = 0;
        let mut sent = 0;
        for (index, instance) in self.instances.iter().enumerate() {
            for number in 0..SOUND_PROBE_COUNT {
                let id = format!("part-probe-{index}-{number}");
                let headers = parts_header(&[FIRST_PART], &id);
                let response = instance.call(&id, "/safe/a", &headers, &id);
                served += usize::from(response.starts_with("HTTP/1.1 200"));
                sent += 1;
            }
        }
        (2 * served < sent).then(|| {
            format!(
                "{served} of {sent} sound requests are served beside requests with a part that \
                 crashes endpoints"
            )
        })
    }

    fn wait_for_endpoints(&mut self) {
        let start = Instant::now();
        while start.elapsed() < RETURN_TIMEOUT && self.endpoints.iter().any(Endpoint::is_down) {
            thread::sleep(Duration::from_millis(50));
            self.register_returned();
        }
        self.register_returned();
    }

    fn crashes_since(&self, time: Instant) -> Vec<Instant> {
        let times = self.endpoints.iter().flat_map(Endpoint::crash_times);
        let mut times: Vec<_> = times.filter(|it| *it >= time).collect();
        times.sort_unstable();
        times
    }

    // Returns how many requests with the part endpoints received since a time.
    fn count_poisoned(&self, since: Instant) -> usize {
        let requests = self.endpoints.iter().flat_map(Endpoint::requests);
        let late = requests.filter(|it| it.received_at.is_some_and(|at| at > since));
        late.filter(|it| it.prompt_parts().any(|part| part == POISONED_PART))
            .count()
    }
}
