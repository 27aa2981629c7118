//! Confirmation that an instance's view of the store is current.

mod common;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;

use siskinyoke_base::Clock;
use siskinyoke_base::Revision;
use siskinyoke_dispatch::Core;
use siskinyoke_gateway::clock::BootClock;
use siskinyoke_gateway::store::StoreError;
use siskinyoke_gateway::view_confirmation::ViewConfirmation;

/// How long a read takes.
const READ_TIME: Duration = Duration::from_millis(40);

struct Setup {
    core: Rc<RefCell<Core>>,
    confirmation: Rc<ViewConfirmation>,
    // The store's revision; `None` while it does not answer.
    latest: Rc<Cell<Option<u64>>>,
    reads: Rc<Cell<u32>>,
}

impl Setup {
    fn start() -> Self {
        let shell = common::shell(common::PLATFORM_SETTINGS);
        let setup = Self {
            confirmation: shell.view_confirmation.clone(),
            core: shell.core.clone(),
            latest: Rc::new(Cell::new(Some(5))),
            reads: Rc::default(),
        };
        let confirmation = setup.confirmation.clone();
        let (latest, reads) = (setup.latest.clone(), setup.reads.clone());
        let read = async move || {
            reads.set(reads.get() + 1);
            // The revision is that of the read's start.
            let revision = latest.get();
            sleep(READ_TIME).await;
            let number = revision.ok_or(StoreError::NoReply)?;
            Ok(Revision::new(0, number))
        };
        spawn_local(async move { confirmation.run(read).await });
        setup
    }

    fn apply(&self, revision: u64) {
        let mut core = self.core.borrow_mut();
        core.apply_updates(BootClock.now(), Revision::new(0, revision), Vec::new());
    }
}

fn run(test: impl AsyncFnOnce(Setup)) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async move { test(Setup::start()).await });
}

#[test]
fn a_view_is_current_once_it_includes_the_latest_revision() {
    run(async |setup: Setup| {
        setup.apply(4);
        let view = setup.confirmation.clone();
        let confirmed = spawn_local(async move { view.confirm().await });
        sleep(READ_TIME * 2).await;
        assert!(!confirmed.is_finished(), "a change is missing");
        setup.apply(5);
        assert!(confirmed.await.unwrap());
    });
}

#[test]
fn a_view_is_not_current_while_the_store_does_not_answer_or_changes_do_not_arrive() {
    run(async |setup: Setup| {
        setup.apply(5);
        setup.latest.set(None);
        assert!(!setup.confirmation.confirm().await, "no answer");
        setup.latest.set(Some(6));
        assert!(!setup.confirmation.confirm().await, "a change is missing");
        setup.apply(6);
        assert!(setup.confirmation.confirm().await);
    });
}

// Guards against a read that was under way when the question arose and does not show what happened
// before it.
#[test]
fn a_view_is_confirmed_only_by_a_read_that_starts_later() {
    run(async |setup: Setup| {
        setup.apply(5);
        let view = setup.confirmation.clone();
        let first = spawn_local(async move { view.confirm().await });
        sleep(READ_TIME / 2).await;
        setup.latest.set(Some(6));
        assert!(!setup.confirmation.confirm().await, "6 is missing");
        assert!(first.await.unwrap());
    });
}

#[test]
fn questions_that_arise_together_share_a_read() {
    run(async |setup: Setup| {
        setup.apply(5);
        let views: Vec<_> = (0..50).map(|_| setup.confirmation.clone()).collect();
        let tasks: Vec<_> = views
            .into_iter()
            .map(|it| spawn_local(async move { it.confirm().await }))
            .collect();
        for task in tasks {
            assert!(task.await.unwrap());
        }
        assert!(setup.reads.get() <= 2, "{}", setup.reads.get());
    });
}
