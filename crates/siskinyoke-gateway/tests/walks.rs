//! The ways from a failed request's id to its cause, as `docs/OPERATIONS.md` goes them.
//!
//! Each test plays the failure with two real processes and looks at their logs alone. The id is known
//! at one of them only.

use std::path::Path;

use rustix::process::Signal;

use siskinyoke_cli::explain;
use siskinyoke_cli::logs::Log;
use siskinyoke_soak::Endpoint;
use siskinyoke_soak::Instance;
use siskinyoke_soak::Store;
use siskinyoke_soak::configuration;
use siskinyoke_soak::instance::get;
use siskinyoke_soak::instance::until;

struct World {
    store: Store,
    // Kept, as they end when they are dropped.
    _endpoints: Vec<Endpoint>,
    instances: Vec<Instance>,
}

impl World {
    fn start(configuration: &str) -> Self {
        let store = Store::start();
        store.put("op/config", configuration);
        let endpoints: Vec<_> = ["e1", "e2"].map(Endpoint::start).into();
        for endpoint in &endpoints {
            let key = format!("servers/{}", endpoint.id);
            store.put(&key, &endpoint.entry("ready"));
        }
        let program = Path::new(env!("CARGO_BIN_EXE_siskinyoke-gateway"));
        let start = |name| Instance::start(program, name, store.address).ready();
        let instances: Vec<Instance> = ["i1", "i2"].map(start).into();
        // Alone, each would speak for its part of the quotas only.
        for instance in &instances {
            until("the instances hear each other", || {
                let page = get(instance.metrics, "/metrics").unwrap_or_default();
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

    // Stops all and tells the story of a request from their logs.
    fn story(self, id: &str) -> String {
        let mut logs = Vec::new();
        for (at, instance) in self.instances.into_iter().enumerate() {
            instance.signal(Signal::TERM);
            logs.push((
                format!("i{}.log", at + 1),
                Log::read(instance.log().as_bytes()),
            ));
        }
        drop(self.store);
        let mut out = Vec::new();
        explain::write_report(id, &logs, false, &mut out).expect("a story");
        String::from_utf8(out).expect("text")
    }
}

// Returns the first line of a story that holds all of these words.
fn line<'a>(story: &'a str, words: &[&str]) -> &'a str {
    let found = story
        .lines()
        .find(|line| words.iter().all(|word| line.contains(word)));
    found.unwrap_or_else(|| panic!("no line with {words:?}:\n{story}"))
}

// A teacher is told 429 while endpoints idle. The school has used its quota, which an operator
// lowered; only the log says so.
#[test]
fn refused_while_places_were_free() {
    let rate = "\"ApiKeys\":[\"k1\"],\"RatePerS\":0.5,\"Burst\":1";
    let text = configuration::text(7, "k1").replace("\"ApiKeys\":[\"k1\"]", rate);
    let world = World::start(&text);
    let refused = (0..40).find(|number| {
        let answer = world.instances[0].call(&format!("r{number}"), "/safe/a", "", "");
        answer.starts_with("HTTP/1.1 429")
    });
    let story = world.story(&format!("r{}", refused.expect("a refusal")));
    assert!(story.starts_with("i1.log\n"), "{story}");
    let refusal = line(&story, &["refusal", "reason=\"quota\""]);
    assert!(refusal.contains("configuration=7"), "{refusal}");
    assert!(refusal.contains("quota_share=1.0"), "{refusal}");
    assert!(refusal.contains("organisation=\"school\""), "{refusal}");
    assert!(refusal.contains("running=0"), "{refusal}");
    line(
        &story,
        &["configuration ", "version=7", "[\"school\",null,0.5,1.0]"],
    );
}

// A pupil's correction stops in the middle. The endpoint broke off, and the route lets no other one go
// on.
#[test]
fn cut_midway() {
    let world = World::start(&configuration::text(7, "k1"));
    let answer = world.instances[1].call("cut-1", "/single/events", "", "");
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
    let story = world.story("cut-1");
    assert!(story.starts_with("i2.log\n"), "{story}");
    let attempt = line(&story, &["attempt ", "outcome=\"broken\""]);
    assert!(attempt.contains("endpoint=\"e"), "{attempt}");
    assert_eq!(story.matches(" attempt ").count(), 1, "{story}");
    line(
        &story,
        &["answer ", "outcome=\"cut\"", "organisation=\"school\""],
    );
}

// An answer comes after seconds. The first endpoint said nothing; another one had a place, and the rest
// of the time was its.
#[test]
fn late_after_a_retry() {
    let world = World::start(&configuration::text(7, "k1"));
    // The usual time of a service is learned from what went well.
    for number in 0..30 {
        world.instances[0].call(&format!("w{number}"), "/safe/a", "", "");
    }
    let answer = world.instances[0].call("late-1", "/safe/nap", "", "");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let story = world.story("late-1");
    let silent = line(
        &story,
        &["attempt ", "outcome=\"silent\"", "since_arrival_ms="],
    );
    let done = line(&story, &["attempt ", "outcome=\"done\""]);
    assert!(story.find(silent) < story.find(done), "{story}");
    let end = line(&story, &["answer ", "outcome=\"answered\"", "aim_ms=2000"]);
    let took = end
        .split("took_ms=")
        .nth(1)
        .and_then(|it| it.split(' ').next());
    let took: u64 = took.and_then(|it| it.parse().ok()).expect("a number");
    assert!(took >= 1_500, "{end}");
}
