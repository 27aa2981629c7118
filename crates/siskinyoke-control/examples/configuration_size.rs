//! Prints what a configuration of a given number of organisations costs.
//!
//! Run with `cargo run --release -p siskinyoke-control --example configuration_size -- 21000`.

use std::collections::BTreeMap;
use std::env;
use std::fs;
use std::hint::black_box;
use std::time::Instant;

use bytes::Bytes;

use siskinyoke_base::EndpointId;
use siskinyoke_base::OrganisationId;
use siskinyoke_control::configuration::ConfigurationDoc;
use siskinyoke_control::configuration::PageDigest;
use siskinyoke_control::configuration::RECENT_CHANGES;
use siskinyoke_control::configuration::RecentChange;
use siskinyoke_control::configuration::Stored;
use siskinyoke_control::configuration::View;
use siskinyoke_control::configuration::check;
use siskinyoke_control::configuration::read_file;

/// Changes a day at the size two years out.
const CHANGES: usize = 2_000;

/// Seconds in a day.
const DAY: usize = 24 * 60 * 60;

fn main() {
    let count: usize = env::args().nth(1).map_or(21_000, |text| {
        text.parse().expect("a number of organisations")
    });
    let before = resident();
    let doc = grown(count);
    let first = Stored::following(None, &doc, change(1));
    let view = View::new(1, doc);
    let held = resident() - before;

    let mut changed = view.doc.clone();
    let name = changed.organisations.keys().next().expect("some").clone();
    let organisation = changed.organisations.get_mut(&name).expect("it is there");
    organisation.weight += 1;
    let start = Instant::now();
    let faults = check(&changed);
    let checked = start.elapsed();
    assert!(faults.is_empty(), "{faults:?}");
    let start = Instant::now();
    let mut second = Stored::following(Some(&first), &changed, change(2));
    let built = start.elapsed();
    let recent = (3..=RECENT_CHANGES as u64).map(change);
    second.manifest.recent.extend(recent);
    second.bytes = second.manifest.encode();
    let start = Instant::now();
    let loaded = second.document().expect("the pages are whole");
    black_box(View::new(2, loaded));
    let installed = start.elapsed();

    let fresh = second
        .pages
        .iter()
        .filter(|(page, _)| !first.pages.contains_key(page));
    let fresh: Vec<usize> = fresh.map(|(_, bytes)| bytes.len()).collect();
    let sent = second.bytes.len() + fresh.iter().sum::<usize>();
    let largest = second.pages.values().map(Bytes::len).max();
    println!(
        "organisations {count}, endpoints {}",
        view.doc.endpoints.len()
    );
    println!(
        "pages {}, largest {} B",
        second.pages.len(),
        largest.unwrap_or(0)
    );
    println!("manifest {} B", second.bytes.len());
    println!(
        "pages written by a change {}, {} B",
        fresh.len(),
        fresh.iter().sum::<usize>()
    );
    println!("bytes to each daemon a change {sent}");
    println!(
        "bytes a second to each daemon at {CHANGES} changes a day {}",
        sent * CHANGES / DAY
    );
    println!("check {checked:?}, build {built:?}, load and index {installed:?}");
    println!("resident, the documents, their pages and the index: {held} KiB");
    black_box(view);
}

/// Grows the example of Muscat to a number of organisations, one endpoint to 35 of them
/// as at the size two years out.
fn grown(count: usize) -> ConfigurationDoc {
    let root = env!("CARGO_MANIFEST_DIR");
    let path = format!("{root}/../../examples/muscat/configuration.jsonc");
    let text = fs::read_to_string(path).expect("the example is there");
    let mut doc = read_file(&text).expect("the example passes the check");
    let model = doc.organisations[&OrganisationId::new("ministry")].clone();
    doc.organisations = BTreeMap::new();
    for number in 0..count {
        let mut organisation = model.clone();
        organisation.keys = vec![PageDigest::of(&number.to_le_bytes()).to_string()];
        let name = OrganisationId::new(&format!("organisation-{number}"));
        doc.organisations.insert(name, organisation);
    }
    let endpoints: Vec<_> = doc.endpoints.values().cloned().collect();
    for number in doc.endpoints.len()..(count / 35).max(doc.endpoints.len()) {
        let mut endpoint = endpoints[number % endpoints.len()].clone();
        endpoint.address = format!("10.40.{}.{}:8000", number / 250, number % 250);
        let name = EndpointId::new(&format!("endpoint-{number}"));
        doc.endpoints.insert(name, endpoint);
    }
    doc
}

fn change(revision: u64) -> RecentChange {
    RecentChange {
        id: format!("{revision:016x}"),
        revision,
        content: format!("{revision:032x}"),
        operator: "root".to_owned(),
    }
}

/// Returns the resident memory in KiB.
fn resident() -> usize {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let word = line.and_then(|line| line.split_whitespace().next());
    word.and_then(|word| word.parse().ok()).unwrap_or(0)
}
