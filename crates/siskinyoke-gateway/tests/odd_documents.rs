//! Entries of other writers in the store that cannot be read, or state extreme values.

use std::path::Path;

use serde_json::Value;
use serde_json::json;

use siskinyoke_soak::Endpoint;
use siskinyoke_soak::Instance;
use siskinyoke_soak::Store;
use siskinyoke_soak::configuration;
use siskinyoke_soak::instance::wait_until;

struct Site {
    store: Store,
    endpoint: Endpoint,
    version: u64,
}

impl Site {
    fn start() -> Self {
        let store = Store::start();
        store.put("op/config", &configuration::text(3, "k1"));
        let endpoint = Endpoint::start("sound");
        store.put("servers/sound", &endpoint.entry("ready"));
        Self {
            store,
            endpoint,
            version: 3,
        }
    }

    fn start_instance(&self, name: &str) -> Instance {
        let program = Path::new(env!("CARGO_BIN_EXE_siskinyoke-gateway"));
        Instance::start(program, name, self.store.address).wait_until_ready()
    }

    // Checks that an instance learns of a configuration without the key, and of one with it.
    fn check_follows(&mut self, instance: &Instance, case: &str) {
        for (key, serves) in [("k2", false), ("k1", true)] {
            self.version += 1;
            let text = configuration::text(self.version, key);
            self.store.put("op/config", &text);
            wait_until(&format!("the instance follows the store: {case}"), || {
                instance.serves_requests() == serves
            });
        }
    }

    // Returns the entry of the sound endpoint with another text.
    fn entry_with(&self, from: &str, to: &str) -> String {
        let entry = self.endpoint.entry("ready");
        assert!(entry.contains(from), "{entry}");
        entry.replace(from, to)
    }
}

fn nested(depth: usize) -> Value {
    (0..depth).fold(json!(0), |inner, _| json!([inner]))
}

fn odd_rows() -> Vec<(&'static str, Value)> {
    let key = "servers/odd";
    vec![
        (
            key,
            json!({ "Key": key, "Revision": 12, "Value": "no base64!" }),
        ),
        (key, json!({ "Key": key, "Revision": 12, "Value": 7 })),
        (
            key,
            json!({ "Key": key, "Revision": 1e30, "Value": "e30=" }),
        ),
        (
            key,
            json!({ "Key": key, "Revision": u64::MAX, "Value": "e30=" }),
        ),
        (key, json!({ "Key": key, "Revision": -1, "Value": "e30=" })),
        (key, json!({ "Key": key, "Value": "e30=" })),
        (
            key,
            json!({ "Key": key, "Revision": nested(200), "Value": "e30=" }),
        ),
        (
            key,
            json!({ "Key": key, "Revision": 12, "Value": nested(200) }),
        ),
        (
            key,
            json!({ "Key": key, "Revision": 12, "Value": "e30=", "Extra": nested(200) }),
        ),
        (
            key,
            json!({ "Key": nested(200), "Revision": 12, "Value": "e30=" }),
        ),
        (key, json!({ "Key": key, "Revision": 12, "Deleted": "yes" })),
        (key, json!(nested(200))),
        (key, Value::Null),
        (
            "status/rollout/odd",
            json!({ "Key": "status/rollout/odd", "Value": [] }),
        ),
    ]
}

// Guards against a whole page or message that is given up for one item.
#[test]
fn an_item_that_cannot_be_decoded_hides_no_other() {
    let mut site = Site::start();
    let instance = site.start_instance("watching");
    for (key, row) in odd_rows() {
        let case = format!("{:.80}", row.to_string());
        site.store.put_row(key, row);
        site.check_follows(&instance, &case);
        let joined = site.start_instance("reading");
        wait_until("the new instance serves", || joined.serves_requests());
    }
}

// Guards against keys that cut the query of a page short, or end the reading of the list.
#[test]
fn keys_of_any_characters_are_read_in_pages() {
    let site = Site::start();
    for key in [
        "a b",
        "a#b",
        "a&After=",
        "a%zz",
        "a+b",
        "\u{1}",
        "é\u{1f426}",
        "a\"\\",
        "~~~~",
    ] {
        site.store.put(&format!("instances/{key}"), "odd");
        site.store.put(&format!("servers/{key}"), "odd");
    }
    site.store
        .put(&format!("servers/{}", "x".repeat(192)), "odd");
    site.store.put("\u{10ffff}", "odd");
    site.store.set_page_size(1);
    let instance = site.start_instance("reading");
    wait_until("the instance serves", || instance.serves_requests());
}

// Guards against sums that overflow, and against requests to endpoints that cannot be reached.
#[test]
fn entries_with_extreme_values_name_no_endpoint() {
    let mut site = Site::start();
    let instance = site.start_instance("watching");
    let slots = "\"Slots\":4";
    let address = site.endpoint.address.to_string();
    let entries = [
        site.entry_with(slots, "\"Slots\":4294967295"),
        site.entry_with(slots, "\"Slots\":4294967295"),
        site.entry_with(slots, "\"Slots\":2147483648"),
        site.entry_with(slots, "\"Slots\":0"),
        site.entry_with(&address, "127.0.0.1:0"),
        site.entry_with(&address, "127.0.0.1:65536"),
        site.entry_with(&address, "endpoint.example:80"),
        site.entry_with("\"lm\"", &format!("\"{}\"", "l".repeat(60_000))),
        site.entry_with("\"Zone\":\"a\"", "\"Zone\":\"\\u0000\\n\\\"{}\""),
        site.entry_with("}", ",\"Extra\":1e999}"),
        site.entry_with("\"born\":", "\"born\":18446744073709551615,\"boot\":"),
    ];
    for (number, entry) in entries.iter().enumerate() {
        site.store.put(&format!("servers/odd{number}"), entry);
    }
    site.check_follows(&instance, "extreme values");
    let joined = site.start_instance("reading");
    wait_until("the new instance serves", || joined.serves_requests());
}

// Guards against a kind of document that ends a process or keeps it from following the store.
#[test]
fn odd_documents_of_each_kind_disturb_nothing() {
    let mut site = Site::start();
    let instance = site.start_instance("watching");
    let values = [
        format!("{}{}", "[".repeat(50_000), "]".repeat(50_000)),
        format!("{}1{}", "{\"Service\":".repeat(50_000), "}".repeat(50_000)),
        r#"{"front":"x","inner":"255.255.255.255:1","centre":"a"}"#.to_owned(),
        r#"{"front":"x","inner":"[::1]:1","centre":"\u0000"}"#.to_owned(),
        r#"{"front":"","inner":"127.0.0.1:0","centre":""}"#.to_owned(),
        r#"{"Versions":["","\ud83d\ude00",""]}"#.to_owned(),
        r#"{"Versions":["\ud83d"]}"#.to_owned(),
        r#"{"Service":"lm","To":"","DurationS":1e999}"#.to_owned(),
        r#"{"State":"running","To":"\u0000"}"#.to_owned(),
        "[[18446744073709551615,18446744073709551615],[0,0]]".to_owned(),
        "[[18446744073709551616,0]]".to_owned(),
        String::new(),
    ];
    let prefixes = [
        "servers/odd",
        "instances/odd",
        "versions/odd",
        "versions/lm",
        "streams/odd/1/",
        "op/rollout/lm",
        "op/rollout/odd #",
        "status/rollout/lm",
        "op/config",
    ];
    for prefix in prefixes {
        for (number, value) in values.iter().enumerate() {
            let key = match prefix.strip_suffix("odd") {
                Some(start) => format!("{start}odd{number}"),
                None => prefix.to_owned(),
            };
            site.store.put(&key, value);
        }
        site.check_follows(&instance, prefix);
    }
    for number in 0..3_000 {
        site.store.put(&format!("servers/many{number}"), "odd");
    }
    site.check_follows(&instance, "thousands of odd entries");
    let joined = site.start_instance("reading");
    wait_until("the new instance serves", || joined.serves_requests());
}
