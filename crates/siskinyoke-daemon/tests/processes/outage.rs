//! The platform is away while operators switch the preset and a daemon starts.

use std::process;
use std::thread;

use serde_json::json;

use crate::caller::Caller;
use crate::cluster::Cluster;
use siskinyoke_base::Millis;
use siskinyoke_standin::platform::control::PlatformControl;

/// Patience with one sending.
const PATIENT: Millis = Millis::from_secs(25);

/// Longer than the test; the outage is ended by an order.
const LONG: Millis = Millis::from_secs(600);

/// The service goes down while an operator switches the preset, so that nobody can tell at once
/// whether the write took. Requests are served all the while. A daemon that starts during the
/// outage, and that the others know from their settings, learns the configuration from them.
/// Once the service is back, the operator sends the change again under its identity: it is in
/// force everywhere and was made once.
#[test]
fn a_switch_during_an_outage_is_made_once_and_everywhere() {
    let (callers, peers) = newcomer();
    let seed = json!({
        "instance": "muscat-4", "centre": "muscat-a", "peer": peers, "caller": callers,
    });
    let mut cluster = Cluster::start_knowing("outage", &json!([seed]));
    cluster.platform.control(&PlatformControl {
        lose_answers: Some(1),
        ..PlatformControl::default()
    });
    let told = thread::scope(|scope| {
        let before = writes(&cluster);
        let operator = scope.spawn(|| switch(&cluster, 0, "switch", 1, "peak"));
        cluster.until("a write is under way", |cluster| writes(cluster) > before);
        cluster.platform.control(&PlatformControl {
            down: Some(LONG),
            ..PlatformControl::default()
        });
        operator.join().expect("the operator's thread")
    });
    assert!([5000, 5003, 5004].contains(&told), "{told}");
    Caller::send(&cluster, 1, "during", 4, PATIENT).whole_at_once();

    let seeds = cluster.seeds();
    cluster.add(&seeds, &callers, &peers);
    cluster.until("the new daemon knows what is in force", |cluster| {
        let revision = cluster.page(3, "status")["revision"].as_u64();
        revision >= Some(1)
    });
    Caller::send(&cluster, 3, "new", 4, PATIENT).whole_at_once();

    cluster.platform.control(&PlatformControl {
        down: Some(Millis::ZERO),
        lose_answers: Some(0),
        ..PlatformControl::default()
    });
    // Sent again under its identity it is taken once, whatever became of the first sending.
    cluster.until("the switch is accepted", |cluster| {
        switch(cluster, 0, "switch", 1, "peak") == 5000
    });
    cluster.until("it is in force", |cluster| cluster.all_at(2));
    for place in 0..cluster.daemons.len() {
        assert_eq!(cluster.page(place, "status")["preset"], "peak");
    }
    assert_eq!(switch(&cluster, 3, "next", 2, "ordinary"), 5000);
    cluster.until("the next is in force", |cluster| cluster.all_at(3));
    cluster.stop();
}

/// Switches the preset at a daemon and returns the code of its answer.
fn switch(cluster: &Cluster, place: usize, id: &str, revision: u64, name: &str) -> u64 {
    let path = format!("preset?revision={revision}");
    let answer = cluster.admin(place, &path, id, &json!({ "name": name }));
    answer["code"].as_u64().unwrap_or_default()
}

/// Returns the transactions that the service has seen.
fn writes(cluster: &Cluster) -> u64 {
    let counts = cluster.platform.counts();
    counts.get("txn").copied().unwrap_or_default()
}

/// Returns the newcomer's addresses for callers and peers, known before it starts.
///
/// No other process takes them: the ports are none of those that the system hands out, and the
/// loopback address is drawn from this process's number.
fn newcomer() -> (String, String) {
    let [.., high, low] = process::id().to_be_bytes();
    let ip = format!("127.{high}.{low}.4");
    (format!("{ip}:7104"), format!("{ip}:7114"))
}
