//! Watches the store for changes to the configuration, the endpoints and the other instances.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use serde_json::json;
use tokio::time::sleep;

use crate::cluster_view;
use crate::first_read::FirstRead;
use crate::first_read::open_once;
use crate::hedge::Hedge;
use crate::read_ahead;
use crate::replica::Update;
use crate::shell::Shell;
use crate::store::Client;
use crate::store::StoreError;
use siskinyoke_base::Millis;
use siskinyoke_base::Revision;
use siskinyoke_dispatch::watch::MAX_PROBES;
use siskinyoke_dispatch::watch::PROBE_INTERVAL;
use siskinyoke_dispatch::watch::RESPONSE_MARGIN;
use siskinyoke_dispatch::watchers::StoreRole;
use siskinyoke_interface::Batch;
use siskinyoke_interface::Call;
use siskinyoke_interface::Consistency;
use siskinyoke_interface::FormatError;
use siskinyoke_interface::Item;
use siskinyoke_interface::ItemKind;

/// Time limit for a read; the store usually responds within four milliseconds.
const READ_TIMEOUT: Millis = Millis(1_000);

/// Delay after the first failed call; it doubles with each further one.
const MIN_RETRY_DELAY: Millis = Millis(100);

/// Maximum delay after failed calls, so that the recovery of the store is noticed soon.
const MAX_RETRY_DELAY: Millis = PROBE_INTERVAL;

/// Interval at which a follower checks whether it has to watch the store itself.
///
/// Less than half of the time after which a peer counts as unresponsive.
const ROLE_CHECK_INTERVAL: Millis = Millis(200);

/// Watches the store for as long as the process runs, whenever that is the role of this instance.
pub async fn run(shell: Rc<Shell>) {
    let mut watcher = Watcher {
        shell,
        client: Client::default(),
        compacted: false,
        probing: false,
        role: None,
    };
    let mut retry_delay = MIN_RETRY_DELAY;
    loop {
        if watcher.update_role() == StoreRole::Follower {
            sleep(ROLE_CHECK_INTERVAL.into()).await;
            continue;
        }
        let called_at = watcher.shell.now();
        match watcher.read_or_watch().await {
            Ok(()) => retry_delay = MIN_RETRY_DELAY,
            Err(err) => {
                watcher.call_failed(&err);
                // Unanswered probes have taken their time already.
                let elapsed = if watcher.probing {
                    watcher.shell.now().since(called_at)
                } else {
                    Millis::ZERO
                };
                sleep(retry_delay.since(elapsed).into()).await;
                retry_delay = Millis(retry_delay.0 * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

struct Watcher {
    shell: Rc<Shell>,
    client: Client,
    // Whether the store has compacted changes that are missing here; a full read is needed then.
    compacted: bool,
    // Whether the last watch followed a failed call.
    probing: bool,
    // The role at the last check.
    role: Option<StoreRole>,
}

impl Watcher {
    // Returns whether to watch the store or to follow a peer, and logs a change.
    fn update_role(&mut self) -> StoreRole {
        let now = self.shell.now();
        let core = self.shell.core.borrow();
        let role = core.store_role(now);
        if self.role != Some(role) {
            let fields = json!({
                "duty": role.as_str(),
                "watcher": core.watcher(now),
                "peers": core.peers().instance_count(now) - 1,
                "revision": core.store_revision(),
            });
            self.shell.log("store_duty", fields);
            self.role = Some(role);
            self.shell.watching.set(role == StoreRole::Watcher);
            self.shell.lease_renewal.notify_one();
        }
        role
    }

    // Waits for the next changes. Reads the full state first if changes are missing. The very first
    // read is serializable, and repeated as a linearizable one if it has no configuration.
    async fn read_or_watch(&mut self) -> Result<(), StoreError> {
        let revision = self.shell.replica.borrow().watch_revision();
        let lost = revision.era < self.shell.core.borrow().store_era();
        self.compacted |= lost || self.shell.full_read_due.take();
        if !revision.is_zero() && !self.compacted {
            return self.watch(revision).await;
        }
        if revision.is_zero() && self.read_all(Consistency::Serializable).await? {
            return Ok(());
        }
        self.read_all(Consistency::Linearizable).await?;
        Ok(())
    }

    // Reads the full state, and returns whether it has a configuration; a stale one may not.
    async fn read_all(&mut self, consistency: Consistency) -> Result<bool, StoreError> {
        let mut items = Vec::new();
        let mut next: Option<String> = None;
        let mut unreadable = 0;
        let mut revision: Option<Revision> = None;
        loop {
            let page = self.read_page(next.as_deref(), consistency).await?;
            if revision.is_some_and(|it| it.era != page.revision.era) {
                return Err(StoreError::WrongEra);
            }
            // Pages are no snapshot, so the watch starts at the lowest revision among them.
            revision = Some(revision.map_or(page.revision, |it| it.min(page.revision)));
            items.extend(page.items);
            unreadable += page.unreadable;
            if page.next.is_none() {
                break;
            }
            if page.next == next {
                return Err(FormatError::NoNextPage.into());
            }
            next = page.next;
        }
        self.log_unreadable(unreadable);
        let documents = &self.shell.interface.documents;
        let configured = |item: &Item| documents.item_kind(&item.key) == ItemKind::Configuration;
        let configured = items.iter().any(configured);
        self.compacted = false;
        self.call_succeeded();
        let update = Update {
            revision: revision.unwrap_or_default(),
            full: true,
            items,
        };
        let update = self.relabel(update, consistency);
        cluster_view::apply_from_store(&self.shell, update);
        Ok(configured)
    }

    // Moves a full state to the next era if the store's revision has gone back although it names no
    // era. Only a linearizable read shows that.
    fn relabel(&self, mut update: Update, consistency: Consistency) -> Update {
        let known = self.shell.replica.borrow().revision();
        let stated = self.shell.interface.store.stated_era(self.client.headers());
        let is_stated = matches!(stated, Ok(Some(_)));
        let went_back = update.revision < known && update.revision.era == known.era;
        if consistency != Consistency::Linearizable || is_stated || !went_back {
            return update;
        }
        self.shell.core.borrow_mut().begin_store_era();
        self.shell.era_raised(known.era);
        let era = self.shell.core.borrow().store_era();
        update.revision.era = era;
        for item in &mut update.items {
            item.revision.era = era;
        }
        update
    }

    async fn read_page(
        &mut self,
        next: Option<&str>,
        consistency: Consistency,
    ) -> Result<Batch, StoreError> {
        let shell = self.shell.clone();
        let address = shell.settings().store;
        let store = &shell.interface.store;
        let call = store.range(next, consistency);
        // Only serializable reads are cheap enough for the store to be hedged.
        let body = if consistency == Consistency::Serializable && next.is_none() {
            self.read_first_page(address, &call).await?
        } else {
            let result = self.client.call(address, &call, READ_TIMEOUT).await;
            let kind = match consistency {
                Consistency::Linearizable => "read",
                Consistency::Serializable => "read_cached",
            };
            shell.metrics.record_store_call(kind, result.is_ok());
            shell.log_transfer(&self.client.transfer(), "read");
            result?
        };
        let era = shell.check_era(self.client.headers())?;
        Ok(store.decode_range(&body, era)?)
    }

    async fn read_first_page(
        &mut self,
        address: SocketAddr,
        call: &Call,
    ) -> Result<Bytes, StoreError> {
        let mut read = FirstRead::default();
        let result = read.call(address, call, READ_TIMEOUT).await;
        let unanswered = read.calls_sent() - u32::from(result.is_ok());
        if unanswered > 0 {
            let fields = json!({ "unanswered": unanswered, "answered": result.is_ok() });
            self.shell.log("store_read_repeated", fields);
        }
        self.finish_hedged("read_cached", unanswered, result)
    }

    // Waits for changes after a revision and applies them.
    async fn watch(&mut self, revision: Revision) -> Result<(), StoreError> {
        let address = self.shell.settings().store;
        let store = &*self.shell.interface.store;
        let timeout = self.shell.core.borrow().watch_timeout();
        let limit = if store.idle_watch_is_silent() {
            timeout.max(RESPONSE_MARGIN)
        } else {
            timeout + RESPONSE_MARGIN
        };
        let call = store.watch(revision, timeout);
        let sent_at = self.shell.now();
        self.probing = !self.shell.core.borrow().reaches_store();
        let result = if self.probing {
            self.probe(address, &call, limit).await
        } else {
            let result = self.watch_once(address, &call, limit, revision).await;
            self.shell
                .metrics
                .record_store_call("watch", result.is_ok());
            match result {
                Ok(Some(batch)) => Ok(batch),
                Ok(None) => return Ok(()),
                Err(err) => Err(err),
            }
        };
        self.shell.log_transfer(&self.client.transfer(), "watch");
        if let Err(err) = &result {
            let fields = json!({
                "sent_ms_ago": self.shell.now().since(sent_at).0,
                "held_ms": timeout.0,
                "doubted": self.probing,
                "revision": revision,
                "error": err.to_string(),
                "response": self.client.transfer().fields("watch"),
            });
            self.shell.log("store_watch_failed", fields);
        }
        if self.client.has_response() && self.shell.check_era(self.client.headers())? > revision.era
        {
            // The changes after a revision of another history say nothing.
            self.call_succeeded();
            self.compacted = true;
            return Ok(());
        }
        let batch = result?;
        self.call_succeeded();
        self.log_unreadable(batch.unreadable);
        let changed = !batch.items.is_empty();
        let update = Update {
            revision: batch.revision,
            full: false,
            items: batch.items,
        };
        cluster_view::apply_from_store(&self.shell, update);
        if changed {
            // Let changes accumulate before the next watch, unless fetching them from a peer fails.
            let received_in = self.client.transfer().body_duration();
            let delay = self.shell.core.borrow().update_batch_delay(received_in);
            tokio::select! {
                () = sleep(delay.into()) => {}
                () = self.shell.fetch_failed.notified() => {}
            }
        }
        Ok(())
    }

    // Sends a watch on the kept connection. Returns `None` if it was abandoned because of a new
    // address of the store, for a full read, or because peers have sent what it would bring.
    async fn watch_once(
        &mut self,
        address: SocketAddr,
        call: &Call,
        limit: Millis,
        revision: Revision,
    ) -> Result<Option<Batch>, StoreError> {
        let shell = self.shell.clone();
        let response = tokio::select! {
            response = self.client.open(address, call, limit) => response?,
            // The store did not answer another call, so this connection may be dead too.
            () = shell.store_unresponsive.notified() => return Err(StoreError::NoReply),
            () = shell.watch_obsolete() => return Ok(None),
        };
        // An open watch that is silent may be dead; a response that has begun arrives.
        let silent = shell.interface.store.idle_watch_is_silent();
        let size = response.size();
        tokio::select! {
            batch = self.client.read_watch(response, limit, &shell) => batch.map(Some),
            () = shell.store_unresponsive.notified(), if silent => Err(StoreError::NoReply),
            () = shell.watch_obsolete() => Ok(None),
            () = read_ahead::run(&shell, size, revision) => Ok(None),
        }
    }

    // Sends a watch that follows a failed call, and repeats it while the store does not answer.
    async fn probe(
        &mut self,
        address: SocketAddr,
        call: &Call,
        limit: Millis,
    ) -> Result<Batch, StoreError> {
        // The kept connection and what it last said are out of date.
        self.client = Client::default();
        let max_probes = self.shell.core.borrow().max_probes(self.shell.now());
        let mut hedge = Hedge::new(PROBE_INTERVAL, max_probes);
        let start = || open_once(address, call.clone(), limit);
        let round = Millis(PROBE_INTERVAL.0 * u64::from(MAX_PROBES));
        let result = hedge.run(round, start).await;
        let unanswered = hedge.calls_sent() - u32::from(result.is_ok());
        let response = self.finish_hedged("watch", unanswered, result)?;
        self.client.read_watch(response, limit, &self.shell).await
    }

    // Counts the calls of a hedged one, and uses the connection that works for the next calls.
    fn finish_hedged<T>(
        &mut self,
        kind: &'static str,
        unanswered: u32,
        result: Result<(T, Client), StoreError>,
    ) -> Result<T, StoreError> {
        for _ in 0..unanswered {
            self.shell.metrics.record_store_call(kind, false);
        }
        let (response, client) = result?;
        self.shell.metrics.record_store_call(kind, true);
        self.client = client;
        Ok(response)
    }

    // Logs the number of items that cannot be applied, as their keys cannot be read.
    fn log_unreadable(&self, count: usize) {
        if count > 0 {
            self.shell
                .log("store_items_unreadable", json!({ "count": count }));
        }
    }

    fn call_succeeded(&mut self) {
        self.shell.store_contact.set(self.shell.now());
        self.shell.core.borrow_mut().store_call_succeeded();
        if !self.shell.store_reachable.replace(true) {
            self.shell.log("store_regained", json!({}));
        }
        cluster_view::update_store_status(&self.shell);
    }

    fn call_failed(&mut self, err: &StoreError) {
        self.compacted |= is_compacted(err);
        self.shell
            .core
            .borrow_mut()
            .store_call_failed(self.shell.now());
        if self.shell.store_reachable.replace(false) {
            self.shell
                .log("store_lost", json!({ "error": err.to_string() }));
        }
    }
}

fn is_compacted(err: &StoreError) -> bool {
    match err {
        StoreError::Status(status) => *status == http::StatusCode::GONE,
        StoreError::Format(FormatError::Compacted) => true,
        _ => false,
    }
}
