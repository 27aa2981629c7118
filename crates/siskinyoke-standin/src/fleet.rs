//! A whole small system in one process: platform, engines, a plain service and daemons.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::engine::Engine;
use crate::engine::EngineConfig;
use crate::error::StandinError;
use crate::platform::Platform;
use crate::platform::PlatformConfig;
use crate::platform::instances::InstanceLine;
use crate::service::Service;
use crate::service::ServiceConfig;
use siskinyoke_client::Client;
use siskinyoke_client::ClientSettings;
use siskinyoke_daemon::Daemon;
use siskinyoke_daemon::Settings;

/// The bearer key of the fleet's only organisation.
pub const CALLER_KEY: &str = "trial-school";

/// The bearer key of the fleet's administrator.
pub const OPERATOR_KEY: &str = "trial-root";

/// The model that both engines offer.
pub const MODEL: &str = "qalam-small";

/// The plain service.
pub const SERVICE: &str = "portal";

/// How long the fleet may take to come to its first configuration.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Pause between two looks at the fleet.
const LOOK: Duration = Duration::from_millis(50);

/// A whole small system in one process.
pub struct Fleet {
    /// The platform.
    pub platform: Platform,
    /// A fast and a slow engine.
    pub engines: Vec<Engine>,
    /// The plain service.
    pub service: Service,
    /// The daemons, in the order of their names.
    pub daemons: Vec<Daemon>,
}

impl Fleet {
    /// Starts everything and puts the first configuration in force on every daemon.
    ///
    /// # Errors
    ///
    /// [`StandinError`] if a part cannot be started or the configuration is not in force in time.
    pub fn start(instances: usize) -> Result<Self, StandinError> {
        Self::start_with(instances, &json!({}))
    }

    /// Starts everything with limits of the callers' listener other than the usual ones.
    ///
    /// # Errors
    ///
    /// [`StandinError`] if a part cannot be started or the configuration is not in force in time.
    pub fn start_with(instances: usize, limits: &Value) -> Result<Self, StandinError> {
        let platform = Platform::start(&PlatformConfig::default())?;
        let engines = vec![engine(120.0, 16)?, engine(40.0, 4)?];
        let service = Service::start(&ServiceConfig::default())?;
        let mut daemons = Vec::new();
        for number in 1..=instances {
            daemons.push(daemon(number, &platform, limits)?);
        }
        let fleet = Self {
            platform,
            engines,
            service,
            daemons,
        };
        fleet.platform.set_instances(fleet.lines());
        fleet.apply(&fleet.configuration())?;
        fleet.wait_for(1)?;
        Ok(fleet)
    }

    /// Makes a client that asks the daemon at a place first.
    pub fn client(&self, place: usize) -> Client {
        let mut addresses: Vec<String> = self.addresses().iter().map(ToString::to_string).collect();
        addresses.rotate_left(place);
        Client::new(ClientSettings {
            addresses,
            key: CALLER_KEY.to_owned(),
            sendings: 5,
            wait: siskinyoke_base::Millis::from_secs(5),
            limit: siskinyoke_base::Millis::from_secs(60),
        })
    }

    /// Returns the addresses that callers use.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(Daemon::address).collect()
    }

    /// Puts the first configuration in force through the first daemon.
    ///
    /// # Errors
    ///
    /// [`StandinError::Fleet`] if it is not accepted in time.
    pub fn apply(&self, configuration: &Value) -> Result<(), StandinError> {
        self.apply_after(0, configuration)
    }

    /// Puts a whole configuration in force after a revision, through the first daemon.
    ///
    /// # Errors
    ///
    /// [`StandinError::Fleet`] if it is not accepted in time.
    pub fn apply_after(&self, revision: u64, configuration: &Value) -> Result<(), StandinError> {
        let address = self.daemons[0].address();
        let url = format!("http://{address}/admin/v1/apply?revision={revision}");
        let body = configuration.to_string();
        let begun = Instant::now();
        let mut last = String::new();
        while begun.elapsed() < START_LIMIT {
            let sent = ureq::post(&url)
                .config()
                .http_status_as_error(false)
                .build()
                .header("Authorization", format!("Bearer {OPERATOR_KEY}"))
                .header("Idempotency-Key", format!("configuration-after-{revision}"))
                .send(&body);
            match sent {
                Ok(answer) if answer.status().is_success() => return Ok(()),
                Ok(mut answer) => last = answer.body_mut().read_to_string().unwrap_or_default(),
                Err(err) => last = err.to_string(),
            }
            thread::sleep(LOOK);
        }
        Err(StandinError::Fleet(format!(
            "the configuration was not accepted: {last}"
        )))
    }

    /// Waits until a revision is in force on every daemon.
    ///
    /// # Errors
    ///
    /// [`StandinError::Fleet`] if it is not in time.
    pub fn wait_for(&self, revision: u64) -> Result<(), StandinError> {
        let begun = Instant::now();
        while begun.elapsed() < START_LIMIT {
            let in_force = |address: &SocketAddr| status(address)["revision"].as_u64();
            if self
                .addresses()
                .iter()
                .all(|address| in_force(address) >= Some(revision))
            {
                return Ok(());
            }
            thread::sleep(LOOK);
        }
        Err(StandinError::Fleet(format!(
            "revision {revision} is not in force everywhere"
        )))
    }

    /// Asks every daemon to leave and waits until all have stopped.
    pub fn leave(self) {
        for daemon in &self.daemons {
            daemon.leave();
        }
        for daemon in self.daemons {
            daemon.join();
        }
    }

    /// Returns the fleet's configuration.
    pub fn configuration(&self) -> Value {
        configuration(&self.engines, &self.service)
    }

    fn lines(&self) -> Vec<InstanceLine> {
        let line = |(place, daemon): (usize, &Daemon)| InstanceLine {
            instance: instance_name(place + 1),
            centre: centre_name(place + 1),
            peer: daemon.peer_address().to_string(),
            caller: daemon.address().to_string(),
            leaving: false,
        };
        self.daemons.iter().enumerate().map(line).collect()
    }
}

/// Returns a configuration for a fast and a slow engine and a plain service.
pub fn configuration(engines: &[Engine], service: &Service) -> Value {
    let digest = |key: &str| blake3::hash(key.as_bytes()).to_hex().to_string();
    let engine = |engine: &Engine, slots: u32, speed: u32| {
        json!({
            "address": engine.address().to_string(), "centre": "muscat-a", "kind": "engine",
            "targets": [MODEL], "slots": slots, "speed": speed, "resume": true,
        })
    };
    json!({
        "preset": "ordinary",
        "tiers": [
            { "name": "marking", "protected": true, "need": 30_000 },
            { "name": "batch", "need": 60_000 },
        ],
        "presets": {
            "ordinary": { "prefill": 0.5, "shift": 0.1, "queue": 1000 },
            "peak": {
                "prefill": 0.5, "shift": 0.1, "queue": 1000,
                "tiers": { "batch": { "open": false } },
            },
        },
        "endpoints": {
            "fast": engine(&engines[0], 16, 120),
            "slow": engine(&engines[1], 4, 40),
            "portal-1": {
                "address": service.address().to_string(), "centre": "muscat-b",
                "kind": "service", "targets": [SERVICE], "slots": 16, "speed": 100,
            },
        },
        "organisations": {
            "school": {
                "keys": [digest(CALLER_KEY)],
                "routes": [
                    { "target": MODEL, "class": "at-most-once", "tier": "marking" },
                    {
                        "target": SERVICE, "method": "POST", "class": "non-idempotent",
                        "tier": "marking",
                    },
                    { "target": SERVICE, "tier": "batch" },
                ],
            },
        },
        "operators": { "root": { "key": digest(OPERATOR_KEY), "role": "administrator" } },
    })
}

/// Reads a daemon's status; null if it does not answer.
pub fn status(address: &SocketAddr) -> Value {
    let answer = ureq::get(format!("http://{address}/admin/v1/status"))
        .header("Authorization", format!("Bearer {OPERATOR_KEY}"))
        .call();
    let body = answer
        .ok()
        .and_then(|mut answer| answer.body_mut().read_json().ok());
    body.unwrap_or(Value::Null)
}

fn engine(speed: f64, slots: u32) -> Result<Engine, StandinError> {
    Engine::start(&EngineConfig {
        models: vec![MODEL.to_owned()],
        speed,
        slots,
        ..EngineConfig::default()
    })
}

fn daemon(number: usize, platform: &Platform, limits: &Value) -> Result<Daemon, StandinError> {
    let address = platform.address();
    let mut callers = json!({ "listen": "127.0.0.1:0" });
    for (name, value) in limits.as_object().into_iter().flatten() {
        callers[name] = value.clone();
    }
    let settings = json!({
        "instance": instance_name(number),
        "centre": centre_name(number),
        "callers": callers,
        "peers": { "listen": "127.0.0.1:0" },
        "platform": {
            "kv": [address.to_string()],
            "instances": format!("http://{address}/instances"),
        },
    });
    let settings = Settings::parse("fleet", &settings.to_string())
        .map_err(|err| StandinError::Fleet(err.to_string()))?;
    Daemon::start(settings).map_err(|err| StandinError::Fleet(err.to_string()))
}

fn instance_name(number: usize) -> String {
    format!("muscat-{number}")
}

fn centre_name(number: usize) -> String {
    let centres = ["muscat-a", "muscat-b", "muscat-c"];
    centres[(number - 1) % centres.len()].to_owned()
}
