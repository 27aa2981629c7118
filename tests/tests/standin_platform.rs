//! The adapter for the platform against the stand-in.

use std::thread;

use bytes::Bytes;
use serde_json::Value;

use siskinyoke_base::Millis;
use siskinyoke_control::PlatformError;
use siskinyoke_control::PlatformReply;
use siskinyoke_control::PlatformRequest;
use siskinyoke_control::platform::LeaseId;
use siskinyoke_control::platform::Versioned;
use siskinyoke_daemon::platform::EtcdGateway;
use siskinyoke_daemon::platform::PlatformService;
use siskinyoke_daemon::platform::PlatformSettings;
use siskinyoke_standin::platform::Platform;
use siskinyoke_standin::platform::PlatformConfig;
use siskinyoke_standin::platform::control::Lapse;
use siskinyoke_standin::platform::control::PlatformControl;
use siskinyoke_standin::platform::instances::InstanceLine;

const KEY: &str = "siskinyoke/manifest";

fn platform() -> Platform {
    Platform::start(&PlatformConfig::default()).expect("a free port")
}

fn gateway(addresses: &[String]) -> EtcdGateway {
    EtcdGateway::new(&PlatformSettings {
        kv: addresses.to_vec(),
        instances: addresses
            .last()
            .map(|last| format!("http://{last}/instances")),
        limit: Millis::from_secs(5),
    })
}

fn gateway_of(platform: &Platform) -> EtcdGateway {
    gateway(&[platform.address().to_string()])
}

fn swap(expected: u64, value: &'static str) -> PlatformRequest {
    PlatformRequest::Swap {
        key: KEY.to_owned(),
        expected,
        value: Bytes::from_static(value.as_bytes()),
        lease: None,
    }
}

fn get(gateway: &mut EtcdGateway, key: &str) -> Option<Versioned> {
    let request = PlatformRequest::Get {
        key: key.to_owned(),
    };
    match gateway.call(&request) {
        Ok(PlatformReply::Value(value)) => value,
        other => panic!("no value but {other:?}"),
    }
}

fn swapped(gateway: &mut EtcdGateway, request: &PlatformRequest) -> (bool, Option<Versioned>) {
    match gateway.call(request) {
        Ok(PlatformReply::Swapped { done, current }) => (done, current),
        other => panic!("no swap but {other:?}"),
    }
}

fn grant(gateway: &mut EtcdGateway) -> LeaseId {
    let request = PlatformRequest::LeaseGrant { ttl: Millis(1500) };
    match gateway.call(&request) {
        Ok(PlatformReply::Lease { lease, ttl }) => {
            assert_eq!(ttl, Millis(2000), "the service counts whole seconds");
            lease
        }
        other => panic!("no lease but {other:?}"),
    }
}

#[test]
fn swaps_count_versions_and_show_what_stands() {
    let platform = platform();
    let mut gateway = gateway_of(&platform);
    assert_eq!(get(&mut gateway, KEY), None);
    assert_eq!(swapped(&mut gateway, &swap(0, "one")), (true, None));
    assert_eq!(swapped(&mut gateway, &swap(1, "two")), (true, None));

    let (done, current) = swapped(&mut gateway, &swap(1, "late"));
    assert!(!done);
    let current = current.expect("what stands");
    assert_eq!((current.version, &current.value[..]), (2, &b"two"[..]));

    let remove = |expected| PlatformRequest::Remove {
        key: KEY.to_owned(),
        expected,
    };
    assert!(!swapped(&mut gateway, &remove(1)).0);
    assert!(swapped(&mut gateway, &remove(2)).0);
    assert_eq!(get(&mut gateway, KEY), None);
}

#[test]
fn the_gateway_takes_what_etcd_takes() {
    // Field names in both forms, numbers as strings and plain, and each target of a comparison.
    let platform = platform();
    let txn = |compare: &str| {
        let put = r#"{"request_put":{"key":"Zm9v","value":"YmFy"}}"#;
        let body = format!(r#"{{"compare":[{{"key":"Zm9v",{compare}}}],"success":[{put}]}}"#);
        let url = format!("http://{}/v3/kv/txn", platform.address());
        let mut answer = ureq::post(url).send(body).expect("an answer");
        let answer: Value = answer.body_mut().read_json().expect("JSON");
        answer["succeeded"] == true
    };
    assert!(txn(
        r#""target":"CREATE","result":"EQUAL","create_revision":"0""#
    ));
    assert!(!txn(r#""target":"CREATE","createRevision":0"#));
    assert!(txn(r#""target":"VERSION","result":"EQUAL","version":"1""#));
    assert!(txn(
        r#""target":"MOD","result":"GREATER","mod_revision":"2""#
    ));
    assert!(!txn(r#""target":"MOD","result":"LESS","modRevision":"4""#));
    assert!(txn(
        r#""target":"VERSION","result":"NOT_EQUAL","version":"2""#
    ));
}

#[test]
fn lists_keep_to_the_prefix_and_the_limit() {
    let platform = platform();
    let mut gateway = gateway_of(&platform);
    for key in ["page/b", "page/a", "page0", "page", "page/c"] {
        let put = PlatformRequest::Put {
            key: key.to_owned(),
            value: Bytes::from_static(key.as_bytes()),
        };
        assert_eq!(gateway.call(&put), Ok(PlatformReply::Stored));
    }
    let list = |prefix: &str, limit| PlatformRequest::List {
        prefix: prefix.to_owned(),
        limit,
    };
    let mut keys = |prefix, limit| match gateway.call(&list(prefix, limit)) {
        Ok(PlatformReply::Values(values)) => {
            let keys = values.into_iter().map(|value| value.key);
            keys.collect::<Vec<_>>()
        }
        other => panic!("no values but {other:?}"),
    };
    assert_eq!(keys("page/", 10), ["page/a", "page/b", "page/c"]);
    assert_eq!(keys("page/", 2), ["page/a", "page/b"]);
    assert_eq!(keys("", 10).len(), 5);
}

#[test]
fn a_value_over_the_limit_is_refused_without_effect() {
    let platform = platform();
    let mut gateway = gateway_of(&platform);
    let put = PlatformRequest::Put {
        key: KEY.to_owned(),
        value: Bytes::from(vec![0; 1024 * 1024 + 1]),
    };
    assert!(matches!(gateway.call(&put), Err(PlatformError::Down(_))));
    assert_eq!(get(&mut gateway, KEY), None);
}

#[test]
fn a_service_that_is_down_took_nothing() {
    // An operator's change meets an outage and is told "nothing was changed"; if the write had
    // landed all the same, a second operator would be overruled by a change that was reported
    // as refused. The service refuses connections, so no byte of the write can have left.
    let platform = platform();
    let mut gateway = gateway_of(&platform);
    platform.control(&PlatformControl {
        down: Some(Millis::from_secs(60)),
        ..PlatformControl::default()
    });
    let refused = gateway.call(&swap(0, "one"));
    assert!(
        matches!(refused, Err(PlatformError::Down(_))),
        "{refused:?}"
    );
    platform.control(&PlatformControl {
        down: Some(Millis::ZERO),
        ..PlatformControl::default()
    });
    assert_eq!(get(&mut gateway, KEY), None);
}

#[test]
fn a_lost_answer_is_not_called_refused() {
    // An operator's change is written, but the connection breaks before the answer. Told "not
    // changed", the operator sends it again and a race is lost to oneself. The adapter says that
    // it may have landed, and sends the write to no second address, where it would meet itself.
    let platform = platform();
    let address = platform.address().to_string();
    let mut gateway = gateway(&[address.clone(), address]);
    platform.control(&PlatformControl {
        lose_answers: Some(1),
        ..PlatformControl::default()
    });
    let lost = gateway.call(&swap(0, "one"));
    assert!(matches!(lost, Err(PlatformError::Lost(_))), "{lost:?}");
    assert_eq!(platform.counts()["txn"], 1);
    assert_eq!(get(&mut gateway, KEY).map(|value| value.version), Some(1));
}

#[test]
fn another_address_is_tried_where_nothing_can_have_left() {
    let gone = platform();
    let platform = platform();
    let addresses = [gone.address().to_string(), platform.address().to_string()];
    gone.stop();
    let mut gateway = gateway(&addresses);
    wait_for(|| gateway.call(&swap(0, "one")).is_ok());
    assert_eq!(get(&mut gateway, KEY).map(|value| value.version), Some(1));
}

#[test]
fn keys_die_with_their_lapsed_lease() {
    // A holder pauses, its lease lapses, and another takes its place. The first wakes and writes
    // under the old lease as if it were still in charge. The service refuses the dead lease, and
    // keeping it alive shows a span of zero.
    let platform = platform();
    let mut gateway = gateway_of(&platform);
    let lease = grant(&mut gateway);
    let claim = PlatformRequest::Swap {
        key: "controller".to_owned(),
        expected: 0,
        value: Bytes::from_static(b"first"),
        lease: Some(lease),
    };
    assert!(swapped(&mut gateway, &claim).0);
    platform.control(&PlatformControl {
        lapse: Some(Lapse::One(lease.0)),
        ..PlatformControl::default()
    });
    assert_eq!(get(&mut gateway, "controller"), None);
    let kept = gateway.call(&PlatformRequest::LeaseKeep { lease });
    let ttl = Millis::ZERO;
    assert_eq!(kept, Ok(PlatformReply::Lease { lease, ttl }));
    assert!(matches!(gateway.call(&claim), Err(PlatformError::Down(_))));
    assert_eq!(get(&mut gateway, "controller"), None);
}

#[test]
fn a_lease_is_kept_and_given_up() {
    let platform = platform();
    let mut gateway = gateway_of(&platform);
    let lease = grant(&mut gateway);
    let kept = gateway.call(&PlatformRequest::LeaseKeep { lease });
    let ttl = Millis(2000);
    assert_eq!(kept, Ok(PlatformReply::Lease { lease, ttl }));
    assert!(
        gateway
            .call(&PlatformRequest::LeaseRevoke { lease })
            .is_ok()
    );
    let kept = gateway.call(&PlatformRequest::LeaseKeep { lease });
    let ttl = Millis::ZERO;
    assert_eq!(kept, Ok(PlatformReply::Lease { lease, ttl }));
}

#[test]
fn a_watch_brings_the_change_as_one_call() {
    let platform = platform();
    let mut gateway = gateway_of(&platform);
    assert!(swapped(&mut gateway, &swap(0, "one")).0);
    let watch = |known| PlatformRequest::Watch {
        key: KEY.to_owned(),
        known,
        limit: Millis::from_secs(20),
    };

    let missed = value(gateway.call(&watch(0)));
    assert_eq!(missed.map(|value| value.version), Some(1));

    let mut other = gateway_of(&platform);
    let writer = thread::spawn(move || swapped(&mut other, &swap(1, "two")));
    let changed = value(gateway.call(&watch(1))).expect("a value");
    assert_eq!((changed.version, &changed.value[..]), (2, &b"two"[..]));
    assert!(writer.join().expect("the writer").0);

    // The place in the history is known from the reads before, so the watch was the one call.
    let counts = platform.counts();
    assert_eq!((counts["watch"], counts["range"]), (1, 1));
}

#[test]
fn a_watch_that_runs_out_returns_what_stands() {
    let platform = platform();
    let mut gateway = gateway_of(&platform);
    assert!(swapped(&mut gateway, &swap(0, "one")).0);
    let watch = PlatformRequest::Watch {
        key: KEY.to_owned(),
        known: 1,
        limit: Millis(100),
    };
    let stands = value(gateway.call(&watch));
    assert_eq!(stands.map(|value| value.version), Some(1));
}

#[test]
fn a_watch_that_the_service_breaks_off_is_an_error() {
    // The service restarts while daemons watch it. If the watch were called unchanged, each of
    // them would watch again at once, and the service would meet a storm of calls as it comes up.
    let platform = platform();
    let mut gateway = gateway_of(&platform);
    assert!(swapped(&mut gateway, &swap(0, "one")).0);
    let watching = thread::spawn(move || {
        gateway.call(&PlatformRequest::Watch {
            key: KEY.to_owned(),
            known: 1,
            limit: Millis::from_secs(20),
        })
    });
    wait_for(|| platform.counts().contains_key("watch"));
    platform.control(&PlatformControl {
        cut: true,
        ..PlatformControl::default()
    });
    let broken = watching.join().expect("the watch");
    assert!(matches!(broken, Err(PlatformError::Down(_))), "{broken:?}");
}

#[test]
fn a_slow_service_leaves_a_watch_its_time() {
    let platform = platform();
    let mut gateway = gateway_of(&platform);
    assert!(swapped(&mut gateway, &swap(0, "one")).0);
    platform.control(&PlatformControl {
        slow: Some(Millis(300)),
        ..PlatformControl::default()
    });
    let watch = PlatformRequest::Watch {
        key: KEY.to_owned(),
        known: 1,
        limit: Millis(100),
    };
    let stands = value(gateway.call(&watch));
    assert_eq!(stands.map(|value| value.version), Some(1));
}

#[test]
fn the_instance_list_lags() {
    // The platform takes an instance away, and its list still shows it as live for a while, so
    // that peers go on sending there. Only what lies further back than the lag is shown.
    let platform = platform();
    let mut gateway = gateway_of(&platform);
    platform.set_instances(vec![line("muscat-a-1", false)]);
    assert_eq!(leaving(&mut gateway), [false]);
    platform.control(&PlatformControl {
        lag: Some(Millis::from_secs(3600)),
        ..PlatformControl::default()
    });
    platform.set_instances(vec![line("muscat-a-1", true)]);
    assert_eq!(leaving(&mut gateway), [] as [bool; 0]);
    platform.control(&PlatformControl {
        lag: Some(Millis::ZERO),
        ..PlatformControl::default()
    });
    assert_eq!(leaving(&mut gateway), [true]);
}

fn line(instance: &str, leaving: bool) -> InstanceLine {
    InstanceLine {
        instance: instance.to_owned(),
        centre: "muscat-a".to_owned(),
        peer: "127.0.0.1:7001".to_owned(),
        caller: "127.0.0.1:7000".to_owned(),
        leaving,
    }
}

fn leaving(gateway: &mut EtcdGateway) -> Vec<bool> {
    match gateway.call(&PlatformRequest::Instances) {
        Ok(PlatformReply::Instances(lines)) => lines.iter().map(|line| line.leaving).collect(),
        other => panic!("no instances but {other:?}"),
    }
}

fn value(reply: Result<PlatformReply, PlatformError>) -> Option<Versioned> {
    match reply {
        Ok(PlatformReply::Value(value)) => value,
        other => panic!("no value but {other:?}"),
    }
}

/// Tries again until something holds that other threads bring about.
fn wait_for(mut holds: impl FnMut() -> bool) {
    for _ in 0..500 {
        if holds() {
            return;
        }
        thread::sleep(Millis(10).into());
    }
    panic!("it never came about");
}
