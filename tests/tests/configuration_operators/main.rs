//! The operators' commands against the administration API, in scripts as an operator types them.

#[path = "../../../crates/siskinyoke-control/tests/common/fake_platform.rs"]
mod fake_platform;
mod server;

use std::fs;

use clap::Parser;
use datadriven::walk;

use crate::server::Server;
use siskinyoke_cli::operator::Command;
use siskinyoke_cli::operator::Context;
use siskinyoke_control::configuration::PageDigest;

/// The command line, as far as operators' commands go.
#[derive(Debug, Parser)]
struct Line {
    #[arg(long)]
    address: Vec<String>,
    #[arg(long)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

// What a user would see: an operator types the commands of the operators' pages. Each block types
// them, one a line, and shows what is printed and the exit code if it is not 0.
#[test]
fn scripts() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/configuration_operators");
    walk(&format!("{root}/scripts"), |file| {
        let server = Server::start();
        let mut key = "example-root".to_owned();
        file.run(|case| {
            if case.directive == "file" {
                let name: String = case.args.keys().next().expect("a name").clone();
                fs::write(path_of(&name), &case.input).expect("the file is written");
                return String::new();
            }
            assert_eq!(case.directive, "type", "every other block types commands");
            let mut text = String::new();
            for line in case.input.lines() {
                match line.split_once(' ') {
                    Some(("siskinyoke", rest)) => text += &run(&server, &key, rest),
                    Some(("key", other)) => other.clone_into(&mut key),
                    Some(("server", fault)) => server.fault(fault),
                    _ => panic!("no such line: {line}"),
                }
            }
            text
        });
    });
}

// What a user would see: a command copied from an operators' page is not known to the tool.
#[test]
fn commands_of_the_pages_are_known() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/operators");
    let mut count = 0;
    for page in [
        "configuration",
        "organisations",
        "platform-outage",
        "presets",
    ] {
        let text = fs::read_to_string(format!("{root}/{page}.md")).expect("the page is there");
        let lines = text
            .lines()
            .filter(|line| line.starts_with("    siskinyoke "));
        for line in lines.filter(|line| !line.contains("siskinyoke check")) {
            let typed = line.split('>').next().unwrap_or_default();
            let parsed = Line::try_parse_from(typed.split_whitespace());
            assert!(parsed.is_ok(), "{page}: {line}: {parsed:?}");
            count += 1;
        }
    }
    assert!(count > 20, "only {count} commands were found");
}

fn run(server: &Server, key: &str, line: &str) -> String {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/..");
    let words = line.split_whitespace().map(|word| {
        if let Some(key) = word.strip_prefix("digest:") {
            return PageDigest::of(key.as_bytes()).to_string();
        }
        let file = word.strip_prefix('@').map(path_of);
        file.unwrap_or_else(|| word.replace("examples/", &format!("{root}/examples/")))
    });
    let words: Vec<String> = words.collect();
    let parsed = Line::try_parse_from(std::iter::once("siskinyoke".to_owned()).chain(words));
    let parsed = match parsed {
        Ok(parsed) => parsed,
        Err(error) => return format!("{error}exit code {}\n", error.exit_code()),
    };
    let mut out = Vec::new();
    let mut addresses = parsed.address;
    addresses.push(server.address.clone());
    let mut cx = Context {
        addresses: &addresses,
        key: Some(key),
        json: parsed.json,
        out: &mut out,
    };
    let result = parsed.command.run(&mut cx);
    let mut text = String::from_utf8(out).expect("text");
    if let Err(error) = result {
        let code = error.exit_code();
        text = format!("{text}{error}\nexit code {code}\n");
    }
    let plain = text.replace(&server.address, "ADDRESS");
    plain
        .replace(&path_of(""), "")
        .replace(&format!("{root}/"), "")
}

/// Returns where a script's file lies while the test runs.
fn path_of(name: &str) -> String {
    format!(
        "{}/configuration_operators_{name}",
        env!("CARGO_TARGET_TMPDIR")
    )
}
