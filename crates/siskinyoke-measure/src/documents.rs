//! What the configuration costs in memory, time and bytes.

use std::collections::BTreeMap;

use crate::cost;
use siskinyoke_base::CallClass;
use siskinyoke_base::DataCentre;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Millis;
use siskinyoke_base::ModelId;
use siskinyoke_base::OrganisationId;
use siskinyoke_base::TierName;
use siskinyoke_control::configuration::ConfigurationDoc;
use siskinyoke_control::configuration::EndpointDoc;
use siskinyoke_control::configuration::EndpointKind;
use siskinyoke_control::configuration::Fencing;
use siskinyoke_control::configuration::OrganisationDoc;
use siskinyoke_control::configuration::PageDigest;
use siskinyoke_control::configuration::PresetDoc;
use siskinyoke_control::configuration::RecentChange;
use siskinyoke_control::configuration::RouteDoc;
use siskinyoke_control::configuration::Stored;
use siskinyoke_control::configuration::TierDoc;
use siskinyoke_control::configuration::View;

/// Models in steady use.
const MODELS: usize = 8;

/// Makes a configuration of a size; keys are digests of numbers.
pub fn document(organisations: usize, endpoints: usize) -> ConfigurationDoc {
    let tiers = ["marking", "pupils", "batch"];
    let preset = PresetDoc {
        tiers: BTreeMap::new(),
        prefill: 0.5,
        shift: 0.1,
        queue: 2_000,
    };
    ConfigurationDoc {
        pools: BTreeMap::new(),
        preset: "ordinary".to_owned(),
        tiers: tiers
            .iter()
            .enumerate()
            .map(|(at, name)| tier(at, name))
            .collect(),
        presets: BTreeMap::from([("ordinary".to_owned(), preset)]),
        endpoints: (0..endpoints).map(endpoint).collect(),
        organisations: (0..organisations)
            .map(|n| organisation(n, &tiers))
            .collect(),
        operators: BTreeMap::new(),
    }
}

/// Returns the bearer key's digest of an organisation.
pub fn bearer(number: usize) -> [u8; 32] {
    *blake3::hash(format!("key {number}").as_bytes()).as_bytes()
}

/// Prints one line for each number of organisations.
pub fn run(sizes: &[usize]) {
    println!(
        "| organisations | view: MB | view: bytes each | view: ms to index | ms to read pages | stored: MB | manifest KB | page KB | change: ms to write |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for size in sizes {
        line(*size);
    }
}

fn line(size: usize) {
    let before = cost::resident();
    let doc = document(size, 600);
    let view = View::new(1, doc);
    let memory = cost::resident().saturating_sub(before);
    let before = cost::resident();
    let stored = Stored::following(None, &view.doc, change(1));
    let held = cost::resident().saturating_sub(before);
    let index = micros(|| drop(View::new(1, view.doc.clone())));
    let clone = micros(|| drop(view.doc.clone()));
    let write = micros(|| drop(Stored::following(Some(&stored), &view.doc, change(2))));
    let read = micros(|| drop(stored.document()));
    let next = Stored::following(Some(&stored), &view.doc, change(2));
    let values = next.values();
    let pages: usize = values.iter().map(|(_, bytes)| bytes.len()).sum();
    let manifest = next.manifest.encode().len();
    println!(
        "| {size} | {:.1} | {} | {:.1} | {:.1} | {:.1} | {:.0} | {:.1} | {:.1} |",
        memory as f64 / 1e6,
        memory / size as u64,
        (index - clone) / 1e3,
        read / 1e3,
        held as f64 / 1e6,
        manifest as f64 / 1e3,
        (pages - manifest) as f64 / values.len() as f64 / 1e3,
        write / 1e3,
    );
}

/// Returns the microseconds of one call, from ten.
fn micros(mut call: impl FnMut()) -> f64 {
    let start = cost::thread_nanos();
    for _ in 0..10 {
        call();
    }
    (cost::thread_nanos() - start) as f64 / 1e4
}

/// Makes the note of a change.
pub fn change(revision: u64) -> RecentChange {
    RecentChange {
        id: format!("change-{revision:016}"),
        revision,
        content: PageDigest::of(b"change").to_string(),
        operator: "operator".to_owned(),
    }
}

fn tier(at: usize, name: &str) -> TierDoc {
    TierDoc {
        name: TierName::new(name),
        protected: at == 0,
        need: Millis::from_secs(10),
    }
}

fn endpoint(number: usize) -> (EndpointId, EndpointDoc) {
    let doc = EndpointDoc {
        address: format!("10.0.{}.{}:8000", number / 250, number % 250),
        centre: DataCentre::new(&format!("centre-{}", number % 8)),
        kind: EndpointKind::Engine,
        targets: vec![ModelId::new(&format!("model-{}", number % MODELS))],
        slots: 200,
        speed: 26,
        prefill: 2_000,
        fencing: Fencing::Enforced,
        resume: false,
        leaving: false,
    };
    (EndpointId::new(&format!("server-{number:03}")), doc)
}

fn organisation(number: usize, tiers: &[&str]) -> (OrganisationId, OrganisationDoc) {
    let route = |at: usize| RouteDoc {
        target: ModelId::new(&format!("model-{}", (number + at) % MODELS)),
        method: None,
        path: None,
        class: CallClass::Idempotent,
        tier: TierName::new(tiers[at % tiers.len()]),
        need: None,
    };
    let doc = OrganisationDoc {
        keys: vec![
            blake3::Hash::from_bytes(bearer(number))
                .to_hex()
                .to_string(),
        ],
        weight: 1,
        allowance: None,
        routes: (0..3).map(route).collect(),
    };
    (
        OrganisationId::new(&format!("organisation-{number:05}")),
        doc,
    )
}
