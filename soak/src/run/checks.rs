//! What has to hold once all faults of a run have ended.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand_chacha::ChaCha8Rng;

use crate::Endpoint;
use crate::Instance;
use crate::endpoint::SLOT_COUNT;
use crate::endpoint::silent;
use crate::proxy::Cut;
use crate::run::Fleet;
use crate::store::RolloutStatus;
use crate::stream::StreamHistory;
use crate::stream::StreamRequest;

/// How long no instance may have exited before the propagation of an update is checked.
const STABLE_PERIOD: Duration = Duration::from_secs(5);

/// Maximum time until an update is in use everywhere, which operators of large fleets rely on.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(4);

/// The back-off that an endpoint requests once all faults have ended.
const BACKOFF: Duration = Duration::from_secs(3);

/// How long requests may still reach an endpoint after it requested a back-off.
const ANNOUNCEMENT_SLACK: Duration = Duration::from_millis(500);

/// How long requests may still reach an endpoint after it said that it is leaving.
const DEPARTURE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time until an instance that loses its links to endpoints serves requests.
const LINK_LOSS_TIMEOUT: Duration = Duration::from_secs(3);

/// How long callers send requests before their instance loses its links.
const LINK_LOSS_DELAY: Duration = Duration::from_millis(200);

/// The number of callers that send requests meanwhile, and the content of all of these.
const LINK_CALLER_COUNT: usize = 6;
const SHARED_CONTENT: &str = "shared";

/// The number of requests sent to an instance without links.
const LINK_PROBE_COUNT: usize = 20;

/// The number of streams that begin at an instance before it is killed.
const STREAM_PROBE_COUNT: usize = 12;

/// The path of these streams.
const STREAM_PROBE_PATH: &str = "/stream/versioned";

/// The number of events of each that are received before the instance is killed.
const STREAM_PROBE_EVENTS: usize = 3;

/// How often processes and endpoints are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time from the restart of all endpoints until streams with a pause begin.
const PAUSED_STREAM_DELAY: Duration = Duration::from_millis(1_500);

/// The number of these streams.
const PAUSED_STREAM_COUNT: usize = 6;

/// The number of changes that the store loses in the return from a copy after all faults.
const WRITES_AFTER_COPY: usize = 20;

impl Fleet {
    // Checks that every instance serves requests again within 200 probes, and that updates
    // propagate.
    pub(super) fn check_recovery(&mut self, rng: &mut ChaCha8Rng) -> Vec<String> {
        let mut violations = Vec::new();
        for index in 0..self.instances.len() {
            let served = (0..200).any(|_| {
                thread::sleep(Duration::from_millis(50));
                self.instances[index].restart_if_exited();
                self.register_returned();
                self.instances[index].serves_requests()
            });
            if !served {
                violations.push(format!(
                    "instance {index} serves no requests after the end of all faults"
                ));
            }
        }
        violations.extend(self.check_propagation());
        violations.extend(self.check_prompt_parts());
        self.copy = self.store.copy();
        for _ in 0..WRITES_AFTER_COPY {
            self.write_configuration();
        }
        self.restore_store();
        violations.extend(self.check_propagation());
        violations.extend(self.check_announcements());
        self.run_last_version(rng);
        violations.extend(self.check_lost_links());
        violations.extend(self.check_streams());
        violations
    }

    // Checks that an instance that loses its links to endpoints serves requests.
    fn check_lost_links(&mut self) -> Vec<String> {
        for index in 0..self.endpoints.len() {
            self.restart_endpoint(index);
        }
        self.wait_until_stable();
        thread::scope(|scope| {
            for caller in 0..LINK_CALLER_COUNT {
                let instance = &self.instances[0];
                scope.spawn(move || call_repeatedly(instance, caller));
            }
            thread::sleep(LINK_LOSS_DELAY);
            self.set_cut(0, Some(Cut::Reset));
        });
        // Half of the requests have the content that ran beside the connections that broke.
        let probes = (0..LINK_PROBE_COUNT).map(|it| {
            let id = format!("link-probe-{it}");
            let body = if it % 2 == 0 { SHARED_CONTENT } else { &id };
            self.instances[0].call(&id, "/safe/a", "", body)
        });
        let unserved: Vec<_> = probes
            .filter(|it| !it.starts_with("HTTP/1.1 200"))
            .collect();
        self.set_cut(0, None);
        let violation = format!(
            "{} requests unserved at an instance without links: {unserved:?}",
            unserved.len()
        );
        Vec::from_iter((!unserved.is_empty()).then_some(violation))
    }

    // Checks that streams go on at their version after the instance at which they began is killed.
    fn check_streams(&mut self) -> Vec<String> {
        self.wait_until_stable();
        let first = self.instances[0].caller_address;
        let second = self.instances[1].caller_address;
        let mut streams: Vec<_> = (0..STREAM_PROBE_COUNT).map(begin_stream(first)).collect();
        self.instances[0].kill();
        for stream in &mut streams {
            let last_event = stream.parts[0].events.last().map_or(0, |it| it.0);
            let request = StreamRequest {
                id: &format!("{}-resumed", stream.id),
                path: STREAM_PROBE_PATH,
                shared_parts: &[],
                resumes: Some((&stream.id, last_event)),
                max_events: usize::MAX,
            };
            stream.parts.push(request.send(second));
        }
        self.instances[0].restart();
        let went_on = streams.iter().filter(|it| it.went_on()).count();
        let mixed = streams.iter().flat_map(StreamHistory::violations);
        let mut violations: Vec<_> = mixed.collect();
        if went_on < STREAM_PROBE_COUNT / 2 {
            violations.push(format!(
                "{went_on} of {STREAM_PROBE_COUNT} streams go on after their instance was killed: \
                 {streams:?}"
            ));
        }
        violations
    }

    // Checks that an endpoint gets few requests after it requested a back-off, and none after it
    // said that it is leaving.
    fn check_announcements(&mut self) -> Vec<String> {
        for index in 0..self.endpoints.len() {
            self.restart_endpoint(index);
        }
        let start = Instant::now();
        let mut violations = self.check_silent_streams();
        thread::sleep(PROPAGATION_TIMEOUT.saturating_sub(start.elapsed()));
        let [first, second, ..] = &*self.endpoints else {
            return violations;
        };
        first.reject_for(BACKOFF);
        second.leave();
        thread::sleep(BACKOFF);
        if let Some(announced_at) = first.announced_at() {
            let period = announced_at + ANNOUNCEMENT_SLACK..announced_at + BACKOFF;
            let count = count_received(first, &period);
            // An instance may learn of the rejections late, from as many requests as there are
            // slots.
            if count > self.instances.len() * SLOT_COUNT {
                violations.push(format!("{count} requests to an endpoint in its back-off"));
            }
        }
        if let Some(announced_at) = second.announced_at() {
            thread::sleep(DEPARTURE_TIMEOUT);
            let since = announced_at + DEPARTURE_TIMEOUT;
            let count = count_received(second, &(since..Instant::now()));
            if count > 0 {
                violations.push(format!("{count} requests to an endpoint that leaves"));
            }
        }
        violations
    }

    // Checks that streams with a pause end complete, although no endpoint fails. So callers make none
    // fail meanwhile: that puts endpoints into back-off, and a second response to a request may be
    // received as that to a stream on the same connection.
    fn check_silent_streams(&self) -> Vec<String> {
        self.endpoint_failures.store(false, Ordering::Relaxed);
        thread::sleep(PAUSED_STREAM_DELAY);
        let responses: Vec<_> = thread::scope(|scope| {
            let calls = (0..PAUSED_STREAM_COUNT).map(|number| {
                let instance = &self.instances[number % self.instances.len()];
                scope.spawn(move || {
                    let id = format!("silent-{number}");
                    instance.call(&id, "/stream/silent", "", &id)
                })
            });
            let calls: Vec<_> = calls.collect();
            calls.into_iter().filter_map(|it| it.join().ok()).collect()
        });
        self.endpoint_failures.store(true, Ordering::Relaxed);
        let broken = responses.iter().filter(|it| !silent::is_complete(it));
        broken
            .map(|it| format!("a stream with a pause broke off: {it:?}"))
            .collect()
    }

    // Waits until no instance has exited for `STABLE_PERIOD`. An instance may take a while to exit
    // after SIGTERM.
    fn wait_until_stable(&mut self) {
        let mut stable_since = Instant::now();
        while stable_since.elapsed() < STABLE_PERIOD {
            self.pause(POLL_INTERVAL);
            for instance in &mut self.instances {
                if instance.restart_if_exited() {
                    stable_since = Instant::now();
                }
            }
        }
        self.stable_since = stable_since;
    }

    // Waits, and writes the entries of endpoints that come back from a crash.
    pub(super) fn pause(&mut self, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            thread::sleep(POLL_INTERVAL);
            self.register_returned();
        }
    }

    // Checks that a new configuration is in use at every instance after `PROPAGATION_TIMEOUT`,
    // including those that receive it from a peer.
    fn check_propagation(&mut self) -> Vec<String> {
        self.wait_until_stable();
        self.write_configuration();
        self.pause(PROPAGATION_TIMEOUT);
        let is_outdated =
            |instance: &&Instance| active_version(instance) != Some(self.configuration_version);
        let outdated = self.instances.iter().filter(is_outdated);
        outdated
            .map(|instance| {
                format!(
                    "configuration version {} is not in use at {}: active version {:?}",
                    self.configuration_version,
                    instance.caller_address,
                    active_version(instance)
                )
            })
            .collect()
    }
}

// Checks that the status of a rollout order does not change once the rollout is completed or rolled
// back.
pub(super) fn check_rollout_statuses(rollout_statuses: &[RolloutStatus]) -> Vec<String> {
    let mut violations = Vec::new();
    for pair in rollout_statuses.windows(2) {
        let [first, second] = pair else {
            continue;
        };
        let same_order = first.order > 0 && (first.era, first.order) == (second.era, second.order);
        let is_final = first.text.contains("completed") || first.text.contains("rolled_back");
        if same_order && is_final && first.text != second.text {
            violations.push(format!(
                "rollout order {}: final status {} was replaced by {}",
                first.order, first.text, second.text
            ));
        }
    }
    violations
}

// Sends requests with the same content before and after an instance loses its links.
fn call_repeatedly(instance: &Instance, caller: usize) {
    let start = Instant::now();
    for number in 0.. {
        if start.elapsed() >= LINK_LOSS_DELAY + LINK_LOSS_TIMEOUT {
            return;
        }
        let id = format!("link-caller-{caller}-{number}");
        drop(instance.call(&id, "/safe/a", "", SHARED_CONTENT));
    }
}

// Returns a function that begins a stream with a number at an instance, and breaks it off.
fn begin_stream(instance: SocketAddr) -> impl Fn(usize) -> StreamHistory {
    move |number| {
        let id = format!("stream-probe-{number}");
        let request = StreamRequest {
            id: &id,
            path: STREAM_PROBE_PATH,
            shared_parts: &[],
            resumes: None,
            max_events: STREAM_PROBE_EVENTS,
        };
        let part = request.send(instance);
        StreamHistory {
            id,
            parts: vec![part],
        }
    }
}

// Returns the number of requests that an endpoint received in a period.
fn count_received(endpoint: &Endpoint, period: &Range<Instant>) -> usize {
    let requests = endpoint.requests().into_iter();
    requests
        .filter(|it| it.received_at.is_some_and(|at| period.contains(&at)))
        .count()
}

// Returns the configuration version that an instance uses, according to its metrics.
fn active_version(instance: &Instance) -> Option<u64> {
    instance.metric("what=\"configuration\"")
}
