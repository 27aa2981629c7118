//! Daemons that are killed, frozen or told to leave while requests are in flight.

use std::cell::Cell;
use std::thread;

use crate::caller::Caller;
use crate::caller::request;
use crate::caller::send_again;
use crate::cluster::Cluster;
use siskinyoke_base::Kind;
use siskinyoke_base::Millis;
use siskinyoke_client::Request;
use siskinyoke_standin::fleet::CALLER_KEY;
use siskinyoke_standin::fleet::MODEL;

/// Requests sent at once; some run and some wait for a slot when the failure comes.
const CALLERS: u64 = 8;

/// Requests that run before the failure comes.
const RUNNING: u64 = 3;

/// Tokens of an answer that no engine finishes before the failure comes.
const ENDLESS: u32 = 1000;

/// Tokens of an answer that takes seconds.
const LONG: u32 = 240;

/// Patience with one sending, where nothing is expected to hang.
const PATIENT: Millis = Millis::from_secs(25);

/// Pupils' paragraphs stream through one daemon when its process dies. Their clients send them
/// again elsewhere. A second run would show a pupil conflicting remarks; a "not run" would have
/// the client send it as new, with the same effect. So each is told that it may have run, also
/// when it is sent once more after the owner was found dead, and no engine sees it twice.
#[test]
fn a_killed_daemon_doubles_nothing() {
    let mut cluster = Cluster::start("killed");
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| Caller::send(&cluster, 0, &format!("kill-{number}"), ENDLESS, PATIENT))
        .collect();
    cluster.until("some run", |cluster| cluster.dispatched() >= RUNNING);
    let ticket = cluster
        .client(0, PATIENT)
        .locate()
        .expect("a ticket")
        .ticket;
    cluster.daemons[0].kill();
    for caller in callers {
        let outcome = caller.end().expect("another daemon answers");
        assert_eq!(outcome.kind, Kind::Unknown, "code {}", outcome.code);
    }
    // Sent again once the others know that the owner is gone, when they could adopt it.
    cluster.until("the owner is gone", |cluster| {
        cluster.state(1, "muscat-1") == "Gone"
    });
    for number in 0..CALLERS {
        let key = format!("kill-{number}");
        let code = send_again(&cluster, 1, &key, ENDLESS, &ticket);
        assert_eq!(code, "4002", "{key}");
    }
    Caller::send(&cluster, 1, "after", 4, PATIENT).whole_at_once();
    cluster.daemons.remove(0);
    cluster.stop();
    cluster.check_at_most_once();
}

/// The owner of some requests is frozen before it has read them. Their clients give up waiting
/// and send them again through another daemon; then the owner wakes and finds both sendings.
/// Each may be dispatched once; who is told "not run" must not have run.
#[test]
fn a_frozen_owner_that_wakes_doubles_nothing() {
    let mut cluster = Cluster::start("frozen");
    let mut callers = Vec::new();
    let keys: Vec<_> = (0..CALLERS)
        .map(|number| format!("freeze-{number}"))
        .collect();
    // Their tickets are the owner's; the clients are ready to send when it freezes.
    for key in &keys {
        let mut client = cluster.client(0, Millis::from_secs(2));
        client.locate().expect("a ticket");
        callers.push((client, request(key, 8)));
    }
    cluster.daemons[0].signal("STOP");
    let threads: Vec<_> = callers
        .into_iter()
        .map(|(mut client, request)| thread::spawn(move || client.send(&request, &mut |_| {})))
        .collect();
    let outcomes: Vec<_> = threads
        .into_iter()
        .map(|thread| thread.join().expect("the caller's thread"))
        .collect();
    cluster.daemons[0].signal("CONT");
    for outcome in outcomes.iter().flatten() {
        let code = outcome.code;
        assert_ne!(
            outcome.kind,
            Kind::NotRun,
            "code {code}, and it may run yet"
        );
    }
    // Sent once more under the same identity after the owner woke.
    let again: Vec<_> = keys
        .iter()
        .map(|key| Caller::send(&cluster, 1, key, 8, PATIENT))
        .collect();
    for caller in again {
        caller.end();
    }
    cluster.stop();
    cluster.check_at_most_once();
}

/// Teachers' answers stream through a daemon that is to be replaced. It is sent SIGTERM: no
/// stream may be cut, new work is refused with another address, and the process ends with success.
#[test]
fn a_leaving_daemon_cuts_nothing() {
    let mut cluster = Cluster::start("leaving");
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| Caller::send(&cluster, 0, &format!("leave-{number}"), LONG, PATIENT))
        .collect();
    cluster.until("all are accepted", |cluster| {
        let jobs = cluster.page(0, "status")["jobs"]
            .as_u64()
            .unwrap_or_default();
        jobs + cluster.completed() >= CALLERS
    });
    cluster.daemons[0].signal("TERM");
    let served = Cell::new(0);
    cluster.until("new work is refused", |cluster| {
        match direct(cluster) {
            Direct::Refused(code, kind, address) => {
                assert_eq!((code.as_str(), kind.as_str()), ("3003", "not-run"));
                assert!(!address.is_empty(), "no other address is told");
                true
            }
            // The signal is on its way.
            Direct::Served => {
                served.set(served.get() + 1);
                false
            }
        }
    });
    for caller in callers {
        caller.whole_at_once();
    }
    assert_eq!(cluster.daemons[0].wait().code(), Some(0));
    cluster.daemons.remove(0);
    Caller::send(&cluster, 0, "after", 4, PATIENT).whole_at_once();
    cluster.stop();
    cluster.check_at_most_once();
    let answered = CALLERS + served.get() + 1;
    assert_eq!(cluster.dispatched(), answered, "refused work ran");
}

/// What became of new work that was sent straight to the leaving daemon.
enum Direct {
    /// Refused with a code, a kind and another address.
    Refused(String, String, String),
    /// Answered as usual.
    Served,
}

fn direct(cluster: &Cluster) -> Direct {
    let request = Request::chat(MODEL, "new work", false, 1);
    let url = format!("http://{}{}", cluster.addresses()[0], request.path);
    let sent = ureq::post(url)
        .config()
        .http_status_as_error(false)
        .timeout_global(Some(PATIENT.into()))
        .build()
        .header("Authorization", format!("Bearer {CALLER_KEY}"))
        .send(&request.body[..]);
    let answer = sent.expect("the daemon answers while streams run");
    let header = |name: &str| {
        let value = answer.headers().get(name);
        let text = value.and_then(|value| value.to_str().ok());
        text.unwrap_or_default().to_owned()
    };
    if answer.status().is_success() {
        return Direct::Served;
    }
    let code = header("siskinyoke-code");
    Direct::Refused(
        code,
        header("siskinyoke-kind"),
        header("siskinyoke-address"),
    )
}
