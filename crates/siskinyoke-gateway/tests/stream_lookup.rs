//! The search for the version at which a stream began, while the view of the store is confirmed.

mod common;

use std::rc::Rc;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;

use siskinyoke_base::Millis;
use siskinyoke_base::Revision;
use siskinyoke_dispatch::StreamKey;
use siskinyoke_dispatch::StreamOrigin;
use siskinyoke_dispatch::StreamQuestion;
use siskinyoke_dispatch::VersionKey;
use siskinyoke_gateway::cluster_view;
use siskinyoke_gateway::read_ahead;
use siskinyoke_gateway::replica::Update;
use siskinyoke_gateway::shell::Shell;
use siskinyoke_gateway::stream_writer;
use siskinyoke_interface::Item;

/// When the store's contents arrive after the search has begun.
const ARRIVAL: Duration = Duration::from_millis(60);

fn key() -> StreamKey {
    StreamKey::new(Some("school"), "r1")
}

fn endpoint_item() -> Item {
    let entry = r#"{"Service":"lm","Version":"v1","Address":"127.0.0.1:9","Zone":"a","Slots":2,"State":"ready"}"#;
    Item {
        key: "servers/e1".to_owned(),
        revision: Revision::new(0, 4),
        value: Some(entry.into()),
    }
}

fn apply_all(shell: &Shell, items: Vec<Item>, revision: u64) {
    let update = Update {
        revision: Revision::new(0, revision),
        full: true,
        items,
    };
    cluster_view::apply(shell, update, "store");
}

// Returns an instance that has followed the store for longer than a stream lasts.
fn follower() -> Rc<Shell> {
    let shell = common::shell(common::PLATFORM_SETTINGS);
    apply_all(&shell, vec![endpoint_item()], 5);
    let now = shell.now();
    let mut core = shell.core.borrow_mut();
    core.store_call_succeeded();
    core.interrupt_version_history();
    for ago in (0..=9_000).rev().step_by(200) {
        core.sweep(Millis(now.0 - ago));
    }
    drop(core);
    shell
}

// Searches while a read of everything arrives in place of the changes since the last one.
fn origin_after_full_read(added: Vec<Item>) -> StreamOrigin {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async move {
        let shell = follower();
        let confirmation = shell.view_confirmation.clone();
        let read = async || Ok(Revision::new(0, 9));
        spawn_local(async move { confirmation.run(read).await });
        let updated = shell.clone();
        spawn_local(async move {
            sleep(ARRIVAL).await;
            let mut items = vec![endpoint_item()];
            items.extend(added);
            apply_all(&updated, items, 9);
        });
        let question = StreamQuestion::new(key(), "lm", Millis(4_000));
        let lookup = shell.stream_lookup.find(question, "lm").await;
        assert_eq!(lookup.view_current, Some(true));
        lookup.origin
    })
}

#[test]
fn a_history_that_a_full_read_interrupts_during_the_search_proves_nothing() {
    assert_eq!(origin_after_full_read(Vec::new()), StreamOrigin::Unknown);
}

#[test]
fn a_record_that_arrives_during_the_search_counts() {
    let version = VersionKey::new("lm", "v2");
    let record = Item {
        key: "streams/i1/1/1".to_owned(),
        revision: Revision::new(0, 8),
        value: Some(stream_writer::encode(&[(key(), version)])),
    };
    let origin = origin_after_full_read(vec![record]);
    assert_eq!(origin, StreamOrigin::Version(version));
}

// Guards against a kind of document whose changes up to the revision of a read ahead are lost.
#[test]
fn reading_ahead_covers_the_notes_of_versions() {
    let shell = common::shell(common::PLATFORM_SETTINGS);
    let keys = shell.interface.documents.keys();
    assert!(read_ahead::small_prefixes(&keys).contains(&keys.version_notes));
}
