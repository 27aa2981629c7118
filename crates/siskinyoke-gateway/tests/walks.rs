//! Diagnosis of a failed request from its id, as described in `docs/OPERATIONS.md`.
//!
//! Each test causes a failure in a fleet of two processes and examines only their logs. The request
//! id appears in the log of only one of them.

use std::path::Path;

use rustix::process::Signal;

use siskinyoke_cli::explain;
use siskinyoke_cli::logs::Log;
use siskinyoke_soak::Endpoint;
use siskinyoke_soak::Instance;
use siskinyoke_soak::Store;
use siskinyoke_soak::configuration;
use siskinyoke_soak::instance::http_get;
use siskinyoke_soak::instance::wait_until;

struct Fleet {
    store: Store,
    // Held because they stop when they are dropped.
    _endpoints: Vec<Endpoint>,
    instances: Vec<Instance>,
}

impl Fleet {
    fn start(configuration: &str) -> Self {
        let store = Store::start();
        store.put("op/config", configuration);
        let endpoints: Vec<_> = ["e1", "e2"].map(Endpoint::start).into();
        for endpoint in &endpoints {
            let key = format!("servers/{}", endpoint.id);
            store.put(&key, &endpoint.entry("ready"));
        }
        let program = Path::new(env!("CARGO_BIN_EXE_siskinyoke-gateway"));
        let start = |name| Instance::start(program, name, store.address).wait_until_ready();
        let instances: Vec<Instance> = ["i1", "i2"].map(start).into();
        // Until an instance knows its peer, it applies only its own share of the quotas.
        for instance in &instances {
            wait_until("the instances receive each other's reports", || {
                let page = http_get(instance.metrics_address, "/metrics").unwrap_or_default();
                page.lines()
                    .any(|line| line.contains("what=\"peers\"") && line.ends_with(" 1"))
            });
        }
        Self {
            store,
            _endpoints: endpoints,
            instances,
        }
    }

    // Stops the fleet and returns the report of `explain` on a request.
    fn explain(self, id: &str) -> String {
        let mut logs = Vec::new();
        for (index, instance) in self.instances.into_iter().enumerate() {
            instance.send_signal(Signal::TERM);
            logs.push((
                format!("i{}.log", index + 1),
                Log::parse(instance.into_log().as_bytes()),
            ));
        }
        drop(self.store);
        let mut report = Vec::new();
        explain::write_report(id, &logs, false, &mut report)
            .expect("explain should find the request");
        String::from_utf8(report).expect("the report should be UTF-8")
    }
}

// Returns the first line of a report that contains all of these words.
fn line<'a>(report: &'a str, words: &[&str]) -> &'a str {
    let found = report
        .lines()
        .find(|line| words.iter().all(|word| line.contains(word)));
    found.unwrap_or_else(|| panic!("no line contains {words:?}:\n{report}"))
}

// A caller gets 429 while endpoints are idle, because its organisation has exhausted a quota that
// an operator lowered. Only the log shows this.
#[test]
fn refused_while_slots_were_free() {
    let rate = "\"ApiKeys\":[\"k1\"],\"RatePerS\":0.5,\"Burst\":1";
    let text = configuration::text(7, "k1").replace("\"ApiKeys\":[\"k1\"]", rate);
    let fleet = Fleet::start(&text);
    let refused_number = (0..40).find(|number| {
        let response = fleet.instances[0].call(&format!("r{number}"), "/safe/a", "", "");
        response.starts_with("HTTP/1.1 429")
    });
    let report = fleet.explain(&format!(
        "r{}",
        refused_number.expect("a request should be refused")
    ));
    assert!(report.starts_with("i1.log\n"), "{report}");
    let refusal = line(&report, &["refusal", "reason=\"quota\""]);
    assert!(refusal.contains("configuration=7"), "{refusal}");
    assert!(refusal.contains("quota_share=1.0"), "{refusal}");
    assert!(refusal.contains("organisation=\"school\""), "{refusal}");
    assert!(refusal.contains("running=0"), "{refusal}");
    line(
        &report,
        &["configuration ", "version=7", "[\"school\",null,0.5,1.0]"],
    );
}

// A stream ends midway because the endpoint closed the connection and the route does not allow
// streams to be resumed.
#[test]
fn stream_cut_midway() {
    let fleet = Fleet::start(&configuration::text(7, "k1"));
    let response = fleet.instances[1].call("cut-1", "/single/events", "", "");
    assert!(!response.ends_with("0\r\n\r\n"), "{response}");
    let report = fleet.explain("cut-1");
    assert!(report.starts_with("i2.log\n"), "{report}");
    let attempt = line(&report, &["attempt ", "outcome=\"broken\""]);
    assert!(attempt.contains("endpoint=\"e"), "{attempt}");
    assert_eq!(report.matches(" attempt ").count(), 1, "{report}");
    line(
        &report,
        &["answer ", "outcome=\"cut\"", "organisation=\"school\""],
    );
}

// A response takes seconds because the first endpoint did not respond and the request was retried at
// another one, which had only the rest of the timeout.
#[test]
fn late_after_a_retry() {
    let fleet = Fleet::start(&configuration::text(7, "k1"));
    // The usual latency of a service is learned from successful requests.
    for number in 0..30 {
        fleet.instances[0].call(&format!("w{number}"), "/safe/a", "", "");
    }
    let response = fleet.instances[0].call("late-1", "/safe/nap", "", "");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let report = fleet.explain("late-1");
    let stalled = line(
        &report,
        &["attempt ", "outcome=\"silent\"", "since_arrival_ms="],
    );
    let done = line(&report, &["attempt ", "outcome=\"done\""]);
    assert!(report.find(stalled) < report.find(done), "{report}");
    let answer_line = line(&report, &["answer ", "outcome=\"answered\"", "aim_ms=2000"]);
    let took_ms = answer_line
        .split("took_ms=")
        .nth(1)
        .and_then(|it| it.split(' ').next());
    let took_ms: u64 = took_ms
        .and_then(|it| it.parse().ok())
        .expect("took_ms should be a number");
    assert!(took_ms >= 1_500, "{answer_line}");
}
