//! The native interface's calls to etcd against the stand-in.

use std::thread;
use std::time::Duration;

use ureq::Agent;

use siskinyoke_base::Millis;
use siskinyoke_base::Revision;
use siskinyoke_interface::Batch;
use siskinyoke_interface::Call;
use siskinyoke_interface::Consistency;
use siskinyoke_interface::FormatError;
use siskinyoke_interface::Store;
use siskinyoke_native::etcd;
use siskinyoke_native::etcd::Etcd as Calls;
use siskinyoke_standin::etcd::Etcd;
use siskinyoke_standin::etcd::EtcdConfig;
use siskinyoke_standin::etcd::control::EtcdControl;
use siskinyoke_standin::etcd::control::Lapse;

const CONFIGURATION_KEY: &str = "siskinyoke/configuration";

fn start_etcd() -> Etcd {
    Etcd::start(&EtcdConfig::default()).expect("a free port")
}

fn send_call(etcd: &Etcd, call: &Call) -> Result<Vec<u8>, ureq::Error> {
    let config = Agent::config_builder()
        .max_idle_connections(0)
        .timeout_global(Some(Duration::from_secs(5)))
        .build();
    let url = format!("http://{}{}", etcd.address(), call.path);
    let mut response = Agent::new_with_config(config).post(url).send(&call.body)?;
    response.body_mut().read_to_vec()
}

fn read_all(etcd: &Etcd) -> Batch {
    let body = send_call(etcd, &Calls.range(None, Consistency::Linearizable)).expect("a response");
    Calls.decode_range(&body, 0).expect("a page")
}

// Returns the first batch of changes of a watch, or none if there is none within 600 ms.
fn read_watch(etcd: &Etcd, revision: Revision) -> Result<Option<Batch>, FormatError> {
    let config = Agent::config_builder()
        .timeout_global(Some(Duration::from_millis(600)))
        .build();
    let watch = Calls.watch(revision, Millis(500));
    let url = format!("http://{}{}", etcd.address(), watch.path);
    let response = Agent::new_with_config(config).post(url).send(&watch.body);
    let mut reader = response.expect("a watch").into_body().into_reader();
    let mut bytes = Vec::new();
    let mut buffer = [0; 1024];
    loop {
        match std::io::Read::read(&mut reader, &mut buffer) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            // The end of the response, or the timeout.
            _ => return Calls.decode_watch(&bytes, false, 0),
        }
        if let Some(batch) = Calls.decode_watch(&bytes, false, 0)? {
            return Ok(Some(batch));
        }
    }
}

#[test]
fn written_values_are_read_back() {
    let etcd = start_etcd();
    etcd.put(CONFIGURATION_KEY, "one");
    etcd.put("elsewhere", "two");
    let page = read_all(&etcd);
    assert_eq!(page.items.len(), 1);
    assert_eq!(page.items[0].key, CONFIGURATION_KEY);
    assert_eq!(page.items[0].value.as_deref(), Some(&b"one"[..]));
    assert!(page.revision > page.items[0].revision);
}

// Two operators read the same configuration and both write it. Guards against the later write
// overwriting the first one, which was reported as applied.
#[test]
fn the_later_of_two_writes_over_the_same_revision_fails() {
    let etcd = start_etcd();
    let first = send_call(
        &etcd,
        &etcd::compare_and_swap(CONFIGURATION_KEY, b"one", Revision::ZERO),
    )
    .unwrap();
    assert!(etcd::decode_txn(&first).unwrap());
    let revision = read_all(&etcd).items[0].revision;
    for (value, succeeds) in [("two", true), ("three", false)] {
        let response = send_call(
            &etcd,
            &etcd::compare_and_swap(CONFIGURATION_KEY, value.as_bytes(), revision),
        )
        .unwrap();
        assert_eq!(etcd::decode_txn(&response).unwrap(), succeeds);
    }
    assert_eq!(etcd.get(CONFIGURATION_KEY).as_deref(), Some("two"));
}

#[test]
fn a_write_whose_response_is_lost_takes_effect() {
    let etcd = start_etcd();
    etcd.control(&EtcdControl {
        lose_answers: Some(1),
        ..EtcdControl::default()
    });
    assert!(
        send_call(
            &etcd,
            &etcd::compare_and_swap(CONFIGURATION_KEY, b"one", Revision::ZERO)
        )
        .is_err()
    );
    assert_eq!(etcd.get(CONFIGURATION_KEY).as_deref(), Some("one"));
}

#[test]
fn a_watch_reports_writes_and_deletions_after_a_revision() {
    let etcd = start_etcd();
    etcd.put(CONFIGURATION_KEY, "one");
    let revision = read_all(&etcd).revision;
    assert_eq!(read_watch(&etcd, revision).unwrap(), None);
    etcd.put("siskinyoke/endpoints/e", "{}");
    send_call(&etcd, &etcd::remove(CONFIGURATION_KEY)).unwrap();
    let batch = read_watch(&etcd, revision).unwrap().expect("changes");
    let changes: Vec<_> = batch
        .items
        .iter()
        .map(|it| (it.key.as_str(), it.value.is_some()))
        .collect();
    assert_eq!(
        changes,
        [("siskinyoke/endpoints/e", true), (CONFIGURATION_KEY, false)]
    );
    assert_eq!(batch.revision, read_all(&etcd).revision);
}

// etcd keeps a limited history. A watch from a compacted revision must fail; otherwise changes
// would be missed for good without an error.
#[test]
fn the_stand_in_refuses_a_watch_from_a_compacted_revision() {
    let etcd = start_etcd();
    let revision = read_all(&etcd).revision;
    for number in 0..20_000 {
        etcd.put(CONFIGURATION_KEY, &number.to_string());
    }
    let err = read_watch(&etcd, revision).unwrap_err();
    assert!(matches!(err, FormatError::Compacted), "{err}");
}

#[test]
fn the_keys_of_a_lease_are_deleted_with_it() {
    let etcd = start_etcd();
    let granted = send_call(&etcd, &Calls.grant_lease(Millis(4_500))).unwrap();
    let lease = Calls.decode_lease(&granted).unwrap();
    send_call(&etcd, &Calls.put("siskinyoke/instances/i", b"{}", lease)).unwrap();
    let renewal = send_call(&etcd, &Calls.renew_lease(lease)).unwrap();
    assert!(Calls.decode_renewal(&renewal).unwrap());
    assert_eq!(read_all(&etcd).items.len(), 1);
    etcd.control(&EtcdControl {
        lapse: Some(Lapse::All),
        ..EtcdControl::default()
    });
    assert_eq!(read_all(&etcd).items, []);
    let renewal = send_call(&etcd, &Calls.renew_lease(lease)).unwrap();
    assert!(!Calls.decode_renewal(&renewal).unwrap());
}

#[test]
fn a_lease_expires_after_its_ttl() {
    let etcd = start_etcd();
    let granted = send_call(&etcd, &Calls.grant_lease(Millis(1))).unwrap();
    let lease = Calls.decode_lease(&granted).unwrap();
    send_call(&etcd, &Calls.put("siskinyoke/instances/i", b"{}", lease)).unwrap();
    for _ in 0..400 {
        if read_all(&etcd).items.is_empty() {
            return;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("the lease did not expire in time");
}

#[test]
fn many_items_are_returned_in_pages() {
    let etcd = start_etcd();
    for number in 0..1_500 {
        etcd.put(&format!("siskinyoke/endpoints/{number:04}"), "{}");
    }
    let first = read_all(&etcd);
    assert!(first.next.is_some());
    let next = first.next.as_deref();
    let body = send_call(&etcd, &Calls.range(next, Consistency::Linearizable)).unwrap();
    let second = Calls.decode_range(&body, 0).unwrap();
    assert_eq!(second.next, None);
    assert_eq!(first.items.len() + second.items.len(), 1_500);
}
