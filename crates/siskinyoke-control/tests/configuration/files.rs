//! Tests of the check that configuration files and changes share.

use std::fs;

use datadriven::walk;

use siskinyoke_control::configuration::ConfigurationDoc;
use siskinyoke_control::configuration::Fault;
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

// What a user would see: a file with several mistakes is refused, and each mistake is named with its
// line, its field, what was found and what is allowed.
#[test]
fn faults_are_named() {
    walk("tests/configuration/checks", |file| {
        file.run(|case| {
            assert_eq!(case.directive, "check", "every block is a check");
            match read_file(&case.input) {
                Ok(doc) => format!("passes, preset {}\n", doc.preset),
                Err(faults) => {
                    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
                    lines.join("\n") + "\n"
                }
            }
        });
    });
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
