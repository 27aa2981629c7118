//! Tests of the check that configuration files and changes share.

use std::collections::BTreeSet;
use std::fs;

use datadriven::walk;

use siskinyoke_control::configuration::ConfigurationDoc;
use siskinyoke_control::configuration::EndpointKind;
use siskinyoke_control::configuration::Fault;
use siskinyoke_control::configuration::PageDigest;
use siskinyoke_control::configuration::RecentChange;
use siskinyoke_control::configuration::Stored;
use siskinyoke_control::configuration::read_file;

fn example(name: &str) -> ConfigurationDoc {
    let text = fs::read_to_string(path_of(name)).expect("the example is there");
    read_file(&text).unwrap_or_else(|faults| panic!("{name}: {faults:?}"))
}

fn path_of(name: &str) -> String {
    let root = env!("CARGO_MANIFEST_DIR");
    format!("{root}/../../examples/{name}/configuration.jsonc")
}

#[test]
fn examples_pass_the_check() {
    assert_eq!(example("local").endpoints.len(), 3);
    for name in ["muscat", "cairo"] {
        let doc = example(name);
        let engines = doc.endpoints.values();
        let engines = engines.filter(|endpoint| endpoint.kind == EndpointKind::Engine);
        assert_eq!(engines.count(), 12, "{name} has twelve engines");
        assert_eq!(
            doc.endpoints.len(),
            15,
            "{name} has three servers of its plain service"
        );
        assert_eq!(doc.organisations.len(), 5, "{name} has five organisations");
        let presets: Vec<&str> = doc.presets.keys().map(String::as_str).collect();
        assert_eq!(presets, ["maintenance", "ordinary", "peak"]);
    }
}

// What a user would see: a key named in a comment of an example does not let them in.
#[test]
fn example_keys_are_those_named() {
    for name in ["local", "muscat", "cairo"] {
        let doc = example(name);
        let text = fs::read_to_string(path_of(name)).expect("the example is there");
        let words = text.split(|c: char| !c.is_ascii_alphanumeric() && c != '-');
        let named = words.filter(|word| word.starts_with("example-"));
        let named: BTreeSet<String> = named
            .map(|word| PageDigest::of(word.as_bytes()).to_string())
            .collect();
        let organisations = doc.organisations.values().flat_map(|one| &one.keys);
        let operators = doc.operators.values().map(|operator| &operator.key);
        for digest in organisations.chain(operators) {
            assert!(
                named.contains(digest),
                "{name}: no key is named for {digest}"
            );
        }
    }
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
        content: "first".to_owned(),
        operator: "root".to_owned(),
    };
    let stored = Stored::following(None, &doc, change);
    assert_eq!(stored.document(), Some(doc));
}
