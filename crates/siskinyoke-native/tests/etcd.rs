//! The calls of etcd's gateway and their answers, as its pages give them.

use siskinyoke_base::Millis;
use siskinyoke_interface::Consistency;
use siskinyoke_interface::FormatError;
use siskinyoke_interface::Store;
use siskinyoke_native::etcd;
use siskinyoke_native::etcd::Etcd;

#[test]
fn a_page_is_read_and_the_next_one_begins_after_its_last_key() {
    let answer = br#"{ "header": { "revision": "12" }, "more": true, "count": "2",
        "kvs": [{ "key": "c2lza2lueW9rZS9h", "value": "eA==", "mod_revision": "7" }] }"#;
    let batch = Etcd.decode_range(answer).unwrap();
    assert_eq!(batch.revision, 12);
    assert!(batch.has_more);
    assert_eq!(batch.items[0].key, "siskinyoke/a");
    assert_eq!(batch.items[0].value.as_deref(), Some(&b"x"[..]));
    let body =
        String::from_utf8(Etcd.range("siskinyoke/a", Consistency::Linearizable).body).unwrap();
    assert!(body.contains("c2lza2lueW9rZS9hAA=="), "{body}");
}

#[test]
fn an_empty_store_answers_with_a_header_alone() {
    let batch = Etcd.decode_range(br#"{ "header": { "revision": "1" } }"#);
    assert_eq!(batch.unwrap().items, []);
}

#[test]
fn a_watch_is_left_once_changes_have_come_whole() {
    let created = "{\"result\":{\"header\":{\"revision\":\"12\"},\"created\":true}}\n";
    assert_eq!(Etcd.decode_watch(created.as_bytes(), false).unwrap(), None);
    let events = "{\"result\":{\"header\":{\"revision\":\"14\"},\"events\":[\
        {\"kv\":{\"key\":\"c2lza2lueW9rZS9h\",\"value\":\"eA==\",\"mod_revision\":\"13\"}},\
        {\"type\":\"DELETE\",\"kv\":{\"key\":\"c2lza2lueW9rZS9i\",\"mod_revision\":\"14\"}}]}}\n";
    let text = format!("{created}{events}");
    let half = &text.as_bytes()[..text.len() - 9];
    assert_eq!(Etcd.decode_watch(half, false).unwrap(), None);
    let batch = Etcd.decode_watch(text.as_bytes(), false).unwrap().unwrap();
    assert_eq!(batch.revision, 14);
    assert_eq!(batch.items.len(), 2);
    assert_eq!(batch.items[1].value, None);
}

// The service has thrown away the changes since the last one seen. Taken for "nothing changed",
// an instance would keep a configuration for good that no longer holds.
#[test]
fn a_watch_over_forgotten_changes_fails() {
    let text = "{\"result\":{\"canceled\":true,\"compact_revision\":\"90\"}}\n";
    let err = Etcd.decode_watch(text.as_bytes(), false).unwrap_err();
    assert!(matches!(err, FormatError::Compacted));
}

#[test]
fn a_lease_that_has_ended_is_told_from_one_that_holds() {
    assert_eq!(
        Etcd.decode_lease(br#"{ "ID": "77", "TTL": "5" }"#).unwrap(),
        77
    );
    let holds = br#"{ "result": { "ID": "77", "TTL": "5" } }"#;
    assert!(Etcd.decode_renewal(holds).unwrap());
    let ended = br#"{ "result": { "ID": "77" } }"#;
    assert!(!Etcd.decode_renewal(ended).unwrap());
    let call = Etcd.grant_lease(Millis(4_500));
    assert_eq!(call.body, br#"{"TTL":"5"}"#);
}

#[test]
fn a_swap_names_the_revision_that_it_replaces() {
    let call = etcd::compare_and_swap("siskinyoke/configuration", b"x", 9);
    let body = String::from_utf8(call.body).unwrap();
    assert!(body.contains(r#""mod_revision":"9""#), "{body}");
    let call = Etcd.put_if("state", b"x", &[("order", 5), ("state", 0)]);
    let body = String::from_utf8(call.body).unwrap();
    assert!(body.contains(r#""mod_revision":"5""#), "{body}");
    assert!(body.contains(r#""mod_revision":"0""#), "{body}");
    assert!(etcd::decode_txn(br#"{ "succeeded": true }"#).unwrap());
    assert!(!etcd::decode_txn(b"{}").unwrap());
}
