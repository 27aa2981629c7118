//! Daemons as processes over stand-ins that run in the test's own process.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::process::BOUND;
use crate::process::LOOK;
use crate::process::Process;
use siskinyoke_base::Millis;
use siskinyoke_client::Client;
use siskinyoke_client::ClientSettings;
use siskinyoke_standin::engine::Engine;
use siskinyoke_standin::engine::EngineConfig;
use siskinyoke_standin::fleet;
use siskinyoke_standin::fleet::CALLER_KEY;
use siskinyoke_standin::fleet::MODEL;
use siskinyoke_standin::fleet::OPERATOR_KEY;
use siskinyoke_standin::platform::Platform;
use siskinyoke_standin::platform::PlatformConfig;
use siskinyoke_standin::platform::instances::InstanceLine;
use siskinyoke_standin::service::Service;
use siskinyoke_standin::service::ServiceConfig;

/// Daemons of a cluster.
const DAEMONS: usize = 3;

/// Any free port.
const LISTEN: &str = "127.0.0.1:0";

/// Daemons as processes, and what they work with.
pub struct Cluster {
    name: &'static str,
    /// The platform.
    pub platform: Platform,
    /// A fast and a slow engine.
    pub engines: [Engine; 2],
    /// The plain service.
    pub service: Service,
    /// The daemons.
    pub daemons: Vec<Process>,
}

impl Cluster {
    /// Starts three daemons with a configuration in force; the name is the test's own.
    pub fn start(name: &'static str) -> Self {
        Self::start_knowing(name, &json!([]))
    }

    /// Starts three daemons that know some instances from their settings.
    pub fn start_knowing(name: &'static str, seeds: &Value) -> Self {
        let platform = Platform::start(&PlatformConfig::default()).expect("a platform");
        let engines = [engine(120.0, 16), engine(40.0, 4)];
        let service = Service::start(&ServiceConfig::default()).expect("a service");
        let mut cluster = Self {
            name,
            platform,
            engines,
            service,
            daemons: Vec::new(),
        };
        for _ in 0..DAEMONS {
            cluster.add(seeds, LISTEN, LISTEN);
        }
        let configuration = fleet::configuration(&cluster.engines, &cluster.service);
        cluster.until("the configuration is taken", |cluster| {
            let answer = cluster.admin(0, "apply?revision=0", "first", &configuration);
            answer["code"] == 5000
        });
        cluster.until("revision 1 is in force", |cluster| cluster.all_at(1));
        cluster.until("all know each other", |cluster| {
            (0..DAEMONS).all(|place| cluster.known(place) == DAEMONS)
        });
        cluster
    }

    /// Starts one more daemon, which knows some instances from its settings and listens for
    /// callers and peers on the given addresses.
    pub fn add(&mut self, seeds: &Value, callers: &str, peers: &str) {
        let number = self.daemons.len() + 1;
        let platform = self.platform.address();
        let settings = json!({
            "instance": format!("muscat-{number}"),
            "centre": "muscat-a",
            "callers": { "listen": callers },
            "peers": { "listen": peers, "seeds": seeds },
            "platform": {
                "kv": [platform.to_string()],
                "instances": format!("http://{platform}/instances"),
            },
        });
        let file = format!("{}-{number}.jsonc", self.name);
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
        fs::write(&path, settings.to_string()).expect("it can be written");
        self.daemons.push(Process::start(&path));
        self.platform.set_instances(self.lines());
    }

    /// Returns the instance list's lines as settings hold them.
    pub fn seeds(&self) -> Value {
        let lines = self.lines();
        let seed = |line: &InstanceLine| {
            json!({
                "instance": line.instance, "centre": line.centre,
                "peer": line.peer, "caller": line.caller,
            })
        };
        lines.iter().map(seed).collect()
    }

    /// Makes a client that asks the daemon at a place first; a sending takes `limit` at most.
    pub fn client(&self, place: usize, limit: Millis) -> Client {
        let mut addresses: Vec<_> = self.addresses().iter().map(ToString::to_string).collect();
        addresses.rotate_left(place);
        Client::new(ClientSettings {
            addresses,
            key: CALLER_KEY.to_owned(),
            sendings: 6,
            wait: Millis::from_secs(5),
            limit,
        })
    }

    /// Returns the addresses that callers use.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.callers).collect()
    }

    /// Sends a change to a daemon and returns its answer; null if none came.
    pub fn admin(&self, place: usize, path: &str, id: &str, body: &Value) -> Value {
        let url = format!("http://{}/admin/v1/{path}", self.addresses()[place]);
        let sent = ureq::post(url)
            .config()
            .http_status_as_error(false)
            .timeout_global(Some(BOUND))
            .build()
            .header("Authorization", format!("Bearer {OPERATOR_KEY}"))
            .header("Idempotency-Key", id)
            .send(body.to_string());
        sent.ok()
            .and_then(|mut answer| answer.body_mut().read_json().ok())
            .unwrap_or_default()
    }

    /// Reads a page of the administration API; null if no answer came.
    pub fn page(&self, place: usize, path: &str) -> Value {
        let url = format!("http://{}/admin/v1/{path}", self.addresses()[place]);
        let sent = ureq::get(url)
            .config()
            .http_status_as_error(false)
            .timeout_global(Some(BOUND))
            .build()
            .header("Authorization", format!("Bearer {OPERATOR_KEY}"))
            .call();
        sent.ok()
            .and_then(|mut answer| answer.body_mut().read_json().ok())
            .unwrap_or_default()
    }

    /// Tells whether every daemon has a revision in force.
    pub fn all_at(&self, revision: u64) -> bool {
        let places = 0..self.daemons.len();
        let mut seen = places.map(|place| self.page(place, "status")["revision"].as_u64());
        seen.all(|seen| seen == Some(revision))
    }

    /// Returns how many live daemons a daemon knows, itself among them.
    pub fn known(&self, place: usize) -> usize {
        let status = self.page(place, "status");
        let members = status["members"].as_array().into_iter().flatten();
        members.filter(|member| member["state"] == "Live").count()
    }

    /// Returns what a daemon holds another to be.
    pub fn state(&self, place: usize, instance: &str) -> String {
        let status = self.page(place, "status");
        let mut members = status["members"].as_array().into_iter().flatten();
        let found = members.find(|member| member["instance"] == instance);
        let state = found.and_then(|member| member["state"].as_str());
        state.unwrap_or_default().to_owned()
    }

    /// Returns the dispatches that the engines have seen.
    pub fn dispatched(&self) -> u64 {
        let engines = self.engines.iter();
        engines.map(|engine| engine.counts().dispatched).sum()
    }

    /// Returns the whole answers that the engines have given.
    pub fn completed(&self) -> u64 {
        let engines = self.engines.iter();
        engines.map(|engine| engine.counts().completed).sum()
    }

    /// Fails if an engine has seen a request twice, or both have seen it.
    pub fn check_at_most_once(&self) {
        let mut seen = BTreeMap::new();
        for engine in &self.engines {
            for (name, runs) in engine.counts().requests {
                *seen.entry(name).or_insert(0) += runs.dispatched;
            }
        }
        seen.retain(|_, dispatched| *dispatched > 1);
        assert!(seen.is_empty(), "dispatched more than once: {seen:?}");
    }

    /// Waits until something holds.
    pub fn until(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        let begun = Instant::now();
        while !holds(self) {
            assert!(begun.elapsed() < BOUND, "not in time: {what}");
            thread::sleep(LOOK);
        }
    }

    /// Stops every daemon with SIGTERM; none may run anything afterwards.
    pub fn stop(&mut self) {
        for daemon in &self.daemons {
            daemon.signal("TERM");
        }
        for daemon in &mut self.daemons {
            assert_eq!(daemon.wait().code(), Some(0));
        }
    }

    fn lines(&self) -> Vec<InstanceLine> {
        let line = |(place, daemon): (usize, &Process)| InstanceLine {
            instance: format!("muscat-{}", place + 1),
            centre: "muscat-a".into(),
            peer: daemon.peers.to_string(),
            caller: daemon.callers.to_string(),
            leaving: false,
        };
        self.daemons.iter().enumerate().map(line).collect()
    }
}

fn engine(speed: f64, slots: u32) -> Engine {
    let config = EngineConfig {
        models: vec![MODEL.to_owned()],
        speed,
        slots,
        ..EngineConfig::default()
    };
    Engine::start(&config).expect("an engine")
}
