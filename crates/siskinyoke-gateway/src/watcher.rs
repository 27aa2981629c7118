//! Follows the store: the configuration, the endpoints and the other instances.

use std::rc::Rc;

use serde_json::json;
use tokio::time::sleep;

use crate::gossip::Gossip;
use crate::shell::Shell;
use crate::store::Client;
use crate::store::StoreError;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_interface::Batch;
use siskinyoke_interface::Entry;
use siskinyoke_interface::Item;

/// How much longer than the store holds a watch its answer may take.
const MARGIN: Millis = Millis(700);

/// How long a read may take: a hundred times the store's usual four milliseconds.
const READ: Millis = Millis(1_000);

/// The first pause after a failed call; it doubles up to the longest.
const PAUSE: Millis = Millis(100);

/// The longest pause after failed calls, so that the return of the store is noticed soon.
const LONGEST: Millis = Millis(500);

/// Organisations that are named in the log line of a new configuration.
const LOGGED: usize = 8;

/// Follows the store for as long as the process runs.
pub async fn follow(shell: Rc<Shell>, gossip: Rc<Gossip>) {
    let mut watcher = Watcher {
        shell,
        gossip,
        client: Client::default(),
        revision: None,
    };
    let mut pause = PAUSE;
    loop {
        match watcher.step().await {
            Ok(()) => pause = PAUSE,
            Err(err) => {
                watcher.failed(&err);
                sleep(pause.into()).await;
                pause = Millis(pause.0 * 2).min(LONGEST);
            }
        }
    }
}

struct Watcher {
    shell: Rc<Shell>,
    gossip: Rc<Gossip>,
    client: Client,
    // Where the watch goes on; without it everything is read anew.
    revision: Option<u64>,
}

impl Watcher {
    async fn step(&mut self) -> Result<(), StoreError> {
        match self.revision {
            None => self.read().await,
            Some(revision) => self.watch(revision).await,
        }
    }

    async fn read(&mut self) -> Result<(), StoreError> {
        let mut items = Vec::new();
        let mut after = String::new();
        let mut revision = u64::MAX;
        loop {
            let page = self.page(&after).await?;
            // Pages are no snapshot: the watch starts where the first of them stood.
            revision = revision.min(page.revision);
            after = page
                .items
                .last()
                .map(|item| item.key.clone())
                .unwrap_or_default();
            items.extend(page.items);
            if !page.more || after.is_empty() {
                break;
            }
        }
        self.answered();
        self.replace(items);
        self.revision = Some(revision);
        Ok(())
    }

    async fn page(&mut self, after: &str) -> Result<Batch, StoreError> {
        let address = self.shell.settings().store;
        let store = &self.shell.interface.store;
        let body = self.client.call(address, &store.range(after), READ).await?;
        Ok(store.decode_range(&body)?)
    }

    async fn watch(&mut self, revision: u64) -> Result<(), StoreError> {
        let address = self.shell.settings().store;
        let store = &*self.shell.interface.store;
        let held = self.shell.core.borrow().watch();
        let limit = if store.quiet_watch() {
            held
        } else {
            held + MARGIN
        };
        let call = store.watch(revision, held);
        let batch = self.client.watch(address, &call, limit, store).await?;
        self.answered();
        self.revision = Some(batch.revision.max(revision));
        if !batch.items.is_empty() {
            for item in batch.items {
                self.change(item);
            }
            self.shell.decide();
            let gather = self.shell.core.borrow().gather();
            sleep(gather.into()).await;
        }
        Ok(())
    }

    fn replace(&mut self, items: Vec<Item>) {
        let now = self.shell.now();
        let mut endpoints = Vec::new();
        let mut raw = Vec::new();
        let mut instances = Vec::new();
        for item in items {
            let Some(value) = &item.value else { continue };
            match self.shell.interface.documents.entry(&item.key) {
                Entry::Endpoint(id) => {
                    endpoints.extend(self.endpoint(id, value));
                    raw.push((id.to_owned(), value.clone()));
                    continue;
                }
                Entry::Instance(name) => instances.push(name.to_owned()),
                Entry::Configuration | Entry::Other => {}
            }
            self.change(item);
        }
        let count = endpoints.len();
        self.shell
            .core
            .borrow_mut()
            .registry()
            .replace(now, endpoints);
        self.shell.core.borrow_mut().keep_listed(now, &instances);
        self.shell.raw.borrow_mut().endpoints = raw.into_iter().collect();
        self.shell.log("store_read", json!({ "endpoints": count }));
        self.shell.decide();
    }

    fn change(&mut self, item: Item) {
        let shell = self.shell.clone();
        match shell.interface.documents.entry(&item.key) {
            Entry::Endpoint(id) => self.change_endpoint(id, item.value),
            Entry::Instance(name) => self.change_instance(name, item.value.as_deref()),
            Entry::Configuration => {
                if let Some(value) = item.value {
                    adopt(&shell, &value, "store");
                }
            }
            Entry::Other => {}
        }
    }

    fn change_endpoint(&mut self, id: &str, value: Option<Vec<u8>>) {
        let now = self.shell.now();
        let Some(value) = value else {
            self.shell.core.borrow_mut().registry().remove(now, id);
            self.shell.raw.borrow_mut().endpoints.remove(id);
            self.shell.log("endpoint_gone", json!({ "endpoint": id }));
            return;
        };
        if let Some(endpoint) = self.endpoint(id, &value) {
            let fields = json!({
                "endpoint": id,
                "born": endpoint.born,
                "service": &*endpoint.service,
                "draining": endpoint.draining,
            });
            self.shell.log("endpoint", fields);
            self.shell.core.borrow_mut().registry().put(now, endpoint);
            self.shell
                .raw
                .borrow_mut()
                .endpoints
                .insert(id.to_owned(), value);
        }
    }

    fn change_instance(&self, name: &str, value: Option<&[u8]>) {
        let mut core = self.shell.core.borrow_mut();
        match value.map(serde_json::from_slice) {
            Some(Ok(place)) => core.list(name, place),
            Some(Err(err)) => {
                drop(core);
                let fields = json!({ "instance": name, "error": err.to_string() });
                self.shell.log("instance_unreadable", fields);
            }
            None => core.unlist(self.shell.now(), name),
        }
        self.gossip.search(&self.shell);
    }

    fn endpoint(&self, id: &str, value: &[u8]) -> Option<Endpoint> {
        decode_endpoint(&self.shell, id, value)
    }

    fn answered(&mut self) {
        self.shell.core.borrow_mut().store_back(self.shell.now());
        if !self.shell.stored.replace(true) {
            self.shell.log("store_regained", json!({}));
        }
    }

    fn failed(&mut self, err: &StoreError) {
        // After a doubt, or where the history is gone, only a whole reading tells what holds.
        self.revision = None;
        self.shell.core.borrow_mut().store_lost();
        if self.shell.stored.replace(false) {
            self.shell
                .log("store_lost", json!({ "error": err.to_string() }));
        }
    }
}

/// Decodes an endpoint's entry; one that cannot be understood is logged and names none.
pub fn decode_endpoint(shell: &Shell, id: &str, value: &[u8]) -> Option<Endpoint> {
    match shell.interface.documents.endpoint(id, value) {
        Ok(endpoint) => Some(endpoint),
        Err(err) => {
            let fields = json!({ "endpoint": id, "error": err.to_string() });
            shell.log("endpoint_unreadable", fields);
            None
        }
    }
}

/// Puts a configuration in force, unless it is no newer than the one that is.
pub fn adopt(shell: &Shell, bytes: &[u8], source: &str) {
    let configuration = match shell.interface.documents.configuration(bytes) {
        Ok(configuration) => configuration,
        Err(err) => {
            let fields = json!({ "source": source, "error": err.to_string() });
            shell.log("configuration_unreadable", fields);
            return;
        }
    };
    let version = configuration.version;
    let allowances: Vec<_> = configuration
        .organisations()
        .iter()
        .take(LOGGED)
        .map(|it| json!([&*it.name, it.priority, it.rate, it.burst]))
        .collect();
    let before = shell.core.borrow().version();
    if !shell
        .core
        .borrow_mut()
        .configure(shell.now(), configuration)
    {
        return;
    }
    shell.raw.borrow_mut().configuration = bytes.to_vec();
    let fields =
        json!({ "version": version, "before": before, "source": source, "allowances": allowances });
    shell.log("configuration", fields);
    shell.changed.notify_one();
}
