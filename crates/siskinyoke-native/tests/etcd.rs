//! Calls to etcd's JSON gateway and its responses, as documented by etcd.

use siskinyoke_base::Millis;
use siskinyoke_interface::Consistency;
use siskinyoke_interface::FormatError;
use siskinyoke_interface::Store;
use siskinyoke_native::etcd;
use siskinyoke_native::etcd::Etcd;

#[test]
fn a_page_is_decoded_and_the_next_one_begins_after_its_last_key() {
    let response = br#"{ "header": { "revision": "12" }, "more": true, "count": "2",
        "kvs": [{ "key": "c2lza2lueW9rZS9h", "value": "eA==", "mod_revision": "7" }] }"#;
    let batch = Etcd.decode_range(response, 0).unwrap();
    assert_eq!(batch.revision, 12.into());
    assert_eq!(batch.items[0].key, "siskinyoke/a");
    assert_eq!(batch.items[0].value.as_deref(), Some(&b"x"[..]));
    assert!(batch.next.is_some());
    let call = Etcd.range(batch.next.as_deref(), Consistency::Linearizable);
    let body = String::from_utf8(call.body).unwrap();
    assert!(body.contains("c2lza2lueW9rZS9hAA=="), "{body}");
}

#[test]
fn a_response_without_items_is_an_empty_page() {
    let batch = Etcd.decode_range(br#"{ "header": { "revision": "1" } }"#, 0);
    assert_eq!(batch.unwrap().items, []);
}

#[test]
fn a_watch_yields_a_batch_once_a_change_is_completely_received() {
    let created = "{\"result\":{\"header\":{\"revision\":\"12\"},\"created\":true}}\n";
    assert_eq!(
        Etcd.decode_watch(created.as_bytes(), false, 0).unwrap(),
        None
    );
    let events = "{\"result\":{\"header\":{\"revision\":\"14\"},\"events\":[\
        {\"kv\":{\"key\":\"c2lza2lueW9rZS9h\",\"value\":\"eA==\",\"mod_revision\":\"13\"}},\
        {\"type\":\"DELETE\",\"kv\":{\"key\":\"c2lza2lueW9rZS9i\",\"mod_revision\":\"14\"}}]}}\n";
    let text = format!("{created}{events}");
    let partial = &text.as_bytes()[..text.len() - 9];
    assert_eq!(Etcd.decode_watch(partial, false, 0).unwrap(), None);
    let batch = Etcd
        .decode_watch(text.as_bytes(), false, 0)
        .unwrap()
        .unwrap();
    assert_eq!(batch.revision, 14.into());
    assert_eq!(batch.items.len(), 2);
    assert_eq!(batch.items[1].value, None);
}

// etcd has compacted the changes since the last revision read. If the response were taken for "no
// changes", an instance would keep an outdated configuration indefinitely.
#[test]
fn a_watch_from_a_compacted_revision_fails() {
    let text = "{\"result\":{\"canceled\":true,\"compact_revision\":\"90\"}}\n";
    let err = Etcd.decode_watch(text.as_bytes(), false, 0).unwrap_err();
    assert!(matches!(err, FormatError::Compacted));
}

#[test]
fn an_expired_lease_is_distinguished_from_a_valid_one() {
    assert_eq!(
        Etcd.decode_lease(br#"{ "ID": "77", "TTL": "5" }"#).unwrap(),
        77
    );
    let valid = br#"{ "result": { "ID": "77", "TTL": "5" } }"#;
    assert!(Etcd.decode_renewal(valid).unwrap());
    let expired = br#"{ "result": { "ID": "77" } }"#;
    assert!(!Etcd.decode_renewal(expired).unwrap());
    let call = Etcd.grant_lease(Millis(4_500));
    assert_eq!(call.body, br#"{"TTL":"5"}"#);
}

// Guards against missing that etcd was restored while a watch from a later revision is silent.
#[test]
fn a_renewal_tells_the_latest_revision() {
    let response = br#"{"result":{"header":{"revision":"9"},"ID":"7","TTL":"12"}}"#;
    assert_eq!(Etcd.renewed_at(response), Some(9));
    assert_eq!(
        Etcd.renewed_at(br#"{"result":{"ID":"7","TTL":"12"}}"#),
        None
    );
}

#[test]
fn a_conditional_write_contains_the_expected_revisions() {
    let call = etcd::compare_and_swap("siskinyoke/configuration", b"x", 9.into());
    let body = String::from_utf8(call.body).unwrap();
    assert!(body.contains(r#""mod_revision":"9""#), "{body}");
    let call = Etcd.put_if("state", b"x", &[("order", 5.into()), ("state", 0.into())]);
    let body = String::from_utf8(call.body).unwrap();
    assert!(body.contains(r#""mod_revision":"5""#), "{body}");
    assert!(body.contains(r#""mod_revision":"0""#), "{body}");
    assert!(etcd::decode_txn(br#"{ "succeeded": true }"#).unwrap());
    assert!(!etcd::decode_txn(b"{}").unwrap());
}

// Guards against a page or message that is given up, or repeated, for one key of another writer.
#[test]
fn a_row_that_cannot_be_decoded_hides_no_other() {
    let sound = r#"{"key":"YQ==","value":"eA==","mod_revision":"7"}"#;
    for (row, unreadable) in [
        (r#"{"key":"/w==","value":"eA==","mod_revision":"8"}"#, 1),
        (r#"{"key":"Yg==","value":"?","mod_revision":"8"}"#, 0),
        (r#"{"key":"Yg==","value":"eA==","mod_revision":8}"#, 0),
        (r#"{"value":[]}"#, 1),
    ] {
        let header = r#""header":{"revision":"9"}"#;
        let page = format!(r#"{{{header},"kvs":[{sound},{row}],"more":true}}"#);
        let page = Etcd.decode_range(page.as_bytes(), 0).unwrap();
        assert_eq!(
            (page.items[0].key.as_str(), page.unreadable),
            ("a", unreadable)
        );
        let next = if row.contains("/w==") {
            "/wA="
        } else if unreadable == 0 {
            "YgA="
        } else {
            "YQA="
        };
        assert_eq!(page.next.as_deref(), Some(next));
        let message = |rows: &[&str]| {
            let events = rows.iter().map(|row| format!(r#"{{"kv":{row}}}"#));
            let events = events.collect::<Vec<_>>().join(",");
            format!(r#"{{"result":{{{header},"events":[{events}]}}}}"#)
        };
        let batch = Etcd.decode_watch(message(&[row, sound]).as_bytes(), true, 0);
        let batch = batch.unwrap().unwrap();
        assert_eq!(
            (batch.items.len(), batch.unreadable),
            (2 - unreadable, unreadable)
        );
        let alone = Etcd
            .decode_watch(message(&[row]).as_bytes(), true, 0)
            .unwrap()
            .unwrap();
        assert!(alone.revision > 7.into());
    }
}
