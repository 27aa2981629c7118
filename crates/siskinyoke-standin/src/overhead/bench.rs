//! One daemon as a process over an engine of this process.

use std::fs;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use super::child::Daemon;
use super::point::Path;
use super::point::Point;
use crate::engine::Engine;
use crate::engine::EngineConfig;
use crate::error::StandinError;
use crate::fleet::CALLER_KEY;
use crate::fleet::MODEL;
use crate::fleet::OPERATOR_KEY;
use crate::load::file::CallerMix;
use crate::load::plan::Shot;
use crate::load::shot::Sender;
use crate::platform::Platform;
use crate::platform::PlatformConfig;
use siskinyoke_base::Millis;

/// Tokens a second of each running request.
const SPEED: u32 = 100;

/// Slots of the engine; more than requests in flight, so that none waits there.
const SLOTS: u32 = 256;

/// Tokens of prompts a second; so many that prompts count for nothing beside the daemon.
const PREFILL: f64 = 1_000_000.0;

/// Tokens of each answer.
const OUTPUT: u32 = 32;

/// Requests of a block at one in flight; with more in flight each sender sends fewer.
const REQUESTS: usize = 24;

/// Fewest requests that each sender sends in a block.
const FEWEST: usize = 4;

/// Patience with one request.
const PATIENCE: Millis = Millis::from_secs(30);

/// How long the configuration may take to be in force.
const LIMIT: Duration = Duration::from_secs(10);

/// One daemon as a process over an engine of this process.
pub struct Bench {
    /// The daemon.
    pub daemon: Daemon,
    engine: Engine,
    _platform: Platform,
    sender: Sender,
    mix: CallerMix,
    ticket: String,
    names: AtomicU64,
}

impl Bench {
    /// Starts everything; `limits` are settings of the callers' listener.
    ///
    /// # Errors
    ///
    /// [`StandinError`] if a part cannot be started.
    pub fn start(limits: &Value) -> Result<Self, StandinError> {
        let platform = Platform::start(&PlatformConfig::default())?;
        let engine = Engine::start(&EngineConfig {
            models: vec![MODEL.to_owned()],
            slots: SLOTS,
            speed: f64::from(SPEED),
            prefill: PREFILL,
            ..EngineConfig::default()
        })?;
        let daemon = start_daemon(&platform, limits)?;
        apply(&daemon, &configuration(&engine))?;
        let sender = Sender::new(PATIENCE);
        let located = sender.locate(&daemon.address, Some(CALLER_KEY));
        let (ticket, _) = located.ok_or_else(|| StandinError::Fleet("no ticket".into()))?;
        Ok(Self {
            daemon,
            engine,
            _platform: platform,
            sender,
            mix: mix(),
            ticket,
            names: AtomicU64::new(0),
        })
    }

    /// Sends a block of requests by a path, with so many in flight.
    ///
    /// # Errors
    ///
    /// [`StandinError::Fleet`] if nothing came back whole.
    pub fn block(&self, path: Path, flight: usize) -> Result<Point, StandinError> {
        let each = (REQUESTS / flight).max(FEWEST);
        let point = Mutex::new(Point::default());
        thread::scope(|scope| {
            for _ in 0..flight {
                scope.spawn(|| {
                    for _ in 0..each {
                        let outcome = self.send(path);
                        let mut point = point.lock().unwrap_or_else(PoisonError::into_inner);
                        point.add(outcome);
                    }
                });
            }
        });
        let point = point.into_inner().unwrap_or_else(PoisonError::into_inner);
        if point.whole() == 0 {
            return Err(StandinError::Fleet("no answer came whole".into()));
        }
        Ok(point)
    }

    fn send(&self, path: Path) -> crate::load::shot::Outcome {
        let number = self.names.fetch_add(1, Ordering::Relaxed);
        let name = format!("overhead-{number}");
        let shot = Shot {
            due: 0,
            phase: 0,
            caller: 0,
            draw: 0,
            content: format!("composition {number}"),
            name,
            output: OUTPUT,
            stream: true,
            once: true,
        };
        let straight = self.engine.address().to_string();
        let (address, ticket) = match path {
            Path::Straight => (straight.as_str(), None),
            Path::Through => (self.daemon.address.as_str(), Some(self.ticket.as_str())),
        };
        self.sender
            .send(address, &self.mix, &shot, ticket, Instant::now())
    }
}

fn mix() -> CallerMix {
    CallerMix {
        name: "overhead".into(),
        key: Some(CALLER_KEY.to_owned()),
        model: MODEL.to_owned(),
        weight: 1.0,
        prompt: [1, 1],
        prefix: 0,
        output: [OUTPUT, OUTPUT],
        stream: 1.0,
        at_most_once: 1.0,
        need: None,
    }
}

fn start_daemon(platform: &Platform, limits: &Value) -> Result<Daemon, StandinError> {
    let mut callers = json!({ "listen": "127.0.0.1:0" });
    for (name, value) in limits.as_object().into_iter().flatten() {
        callers[name] = value.clone();
    }
    let settings = json!({
        "instance": "muscat-1", "centre": "muscat-a", "callers": callers,
        "peers": { "listen": "127.0.0.1:0" },
        "platform": { "kv": [platform.address().to_string()] },
    });
    let file = format!("siskinyoke-overhead-{}.jsonc", std::process::id());
    let path = std::env::temp_dir().join(file);
    let fault = |err: std::io::Error| StandinError::Fleet(err.to_string());
    fs::write(&path, settings.to_string()).map_err(fault)?;
    let daemon = Daemon::start(&path);
    fs::remove_file(&path).map_err(fault)?;
    daemon
}

fn apply(daemon: &Daemon, configuration: &Value) -> Result<(), StandinError> {
    let url = format!("http://{}/admin/v1/apply?revision=0", daemon.address);
    let begun = Instant::now();
    let mut last = String::new();
    while begun.elapsed() < LIMIT {
        let sent = ureq::post(&url)
            .header("Authorization", format!("Bearer {OPERATOR_KEY}"))
            .header("Idempotency-Key", "overhead")
            .send(configuration.to_string());
        match sent {
            Ok(_) => return Ok(()),
            Err(err) => last = err.to_string(),
        }
        thread::sleep(Duration::from_millis(50));
    }
    Err(StandinError::Fleet(format!(
        "the configuration was not accepted: {last}"
    )))
}

fn configuration(engine: &Engine) -> Value {
    let digest = |key: &str| blake3::hash(key.as_bytes()).to_hex().to_string();
    json!({
        "preset": "ordinary",
        "tiers": [{ "name": "marking", "protected": true, "need": 30_000 }],
        "presets": { "ordinary": { "prefill": 0.5, "shift": 0.1, "queue": 1000 } },
        "endpoints": { "engine": {
            "address": engine.address().to_string(), "centre": "muscat-a", "kind": "engine",
            "targets": [MODEL], "slots": SLOTS, "speed": SPEED,
        } },
        "organisations": { "school": {
            "keys": [digest(CALLER_KEY)],
            "routes": [{ "target": MODEL, "class": "at-most-once", "tier": "marking" }],
        } },
        "operators": { "root": { "key": digest(OPERATOR_KEY), "role": "administrator" } },
    })
}
