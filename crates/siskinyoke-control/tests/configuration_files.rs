//! Tests of the check that configuration files and changes share.

use std::fs;

use siskinyoke_control::configuration::ConfigurationDoc;
use siskinyoke_control::configuration::PageDigest;
use siskinyoke_control::configuration::RecentChange;
use siskinyoke_control::configuration::Stored;
use siskinyoke_control::configuration::read_file;

fn example(name: &str) -> ConfigurationDoc {
    let path = format!(
        "{}/../../examples/{name}/configuration.jsonc",
        env!("CARGO_MANIFEST_DIR")
    );
    let text = fs::read_to_string(path).expect("the example is there");
    read_file(&text).unwrap_or_else(|faults| panic!("{name}: {faults:?}"))
}

#[test]
fn examples_pass_the_check() {
    let doc = example("local");
    assert_eq!(doc.preset, "ordinary");
}

#[test]
fn pages_hold_the_whole_configuration() {
    let doc = example("local");
    let change = RecentChange {
        id: "first".to_owned(),
        revision: 1,
        content: PageDigest::of(b"first"),
        operator: "root".to_owned(),
    };
    let stored = Stored::following(None, &doc, change);
    assert_eq!(stored.document(), Some(doc));
}
