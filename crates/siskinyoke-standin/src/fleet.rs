//! A whole small system in one process: etcd, engines, a plain service and instances.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::engine::Engine;
use crate::engine::EngineConfig;
use crate::error::StandinError;
use crate::etcd::Etcd;
use crate::etcd::EtcdConfig;
use crate::service::Service;
use crate::service::ServiceConfig;
use siskinyoke_base::Millis;
use siskinyoke_client::Client;
use siskinyoke_client::ClientSettings;
use siskinyoke_gateway::gateway;
use siskinyoke_gateway::settings::Settings;

/// The bearer key of the fleet's only organisation.
pub const KEY: &str = "trial-school";

/// The model that both engines offer.
pub const MODEL: &str = "qalam-small";

/// The plain service.
pub const SERVICE: &str = "portal";

/// The configuration of the fleet.
pub const CONFIGURATION: &str = r#"{
    "revision": 1,
    "preset": "ordinary",
    "presets": { "ordinary": {}, "peak": { "closed": ["portal"] } },
    "tiers": ["marking", "portal"],
    "routes": [
        { "model": "qalam-small", "services": { "engines": 1 }, "tier": "marking",
          "resume": true, "timeout_ms": 20000, "objective_ms": 2000, "gap_ms": 500 },
        { "path": "portal", "services": { "portal": 1 }, "tier": "portal",
          "timeout_ms": 5000, "objective_ms": 500 }
    ],
    "organisations": { "school": { "keys": ["KEY"] } }
}"#;

/// How long the fleet may take until it serves, in steps of [`LOOK`].
const LOOKS: usize = 400;

/// Pause between two looks at the fleet.
const LOOK: Duration = Duration::from_millis(50);

/// A whole small system in one process.
pub struct Fleet {
    /// The store.
    pub etcd: Etcd,
    /// A fast and a slow engine.
    pub engines: Vec<Engine>,
    /// The plain service.
    pub service: Service,
    /// Where callers reach each instance.
    pub callers: Vec<SocketAddr>,
    /// Where each instance says which ones to use.
    pub directories: Vec<SocketAddr>,
    files: Vec<PathBuf>,
    ended: Arc<Mutex<Option<String>>>,
}

impl Fleet {
    /// Starts everything and waits until each instance serves.
    ///
    /// # Errors
    ///
    /// [`StandinError`] if a part cannot be started or does not serve in time.
    pub fn start(instances: usize) -> Result<Self, StandinError> {
        let mut fleet = Self::empty()?;
        let digest = blake3::hash(KEY.as_bytes()).to_hex();
        let configuration = CONFIGURATION.replace("KEY", &digest);
        fleet.etcd.put("siskinyoke/configuration", &configuration);
        for number in 1..=instances {
            fleet.start_instance(number)?;
        }
        fleet.wait()?;
        Ok(fleet)
    }

    /// Starts everything with one instance and no configuration, and waits until it listens.
    ///
    /// # Errors
    ///
    /// [`StandinError`] if a part cannot be started or does not listen in time.
    pub fn unconfigured() -> Result<Self, StandinError> {
        let mut fleet = Self::empty()?;
        fleet.start_instance(1)?;
        for _ in 0..LOOKS {
            if TcpStream::connect(fleet.callers[0]).is_ok() {
                return Ok(fleet);
            }
            thread::sleep(LOOK);
        }
        Err(StandinError::Fleet(
            "the instance does not listen".to_owned(),
        ))
    }

    fn empty() -> Result<Self, StandinError> {
        let etcd = Etcd::start(&EtcdConfig::default())?;
        let engines = vec![engine(120.0, 16)?, engine(40.0, 4)?];
        let service = Service::start(&ServiceConfig::default())?;
        for (at, engine) in engines.iter().enumerate() {
            put(&etcd, &format!("engine-{at}"), "engines", engine.address());
        }
        put(&etcd, "portal", SERVICE, service.address());
        Ok(Self {
            etcd,
            engines,
            service,
            callers: Vec::new(),
            directories: Vec::new(),
            files: Vec::new(),
            ended: Arc::default(),
        })
    }

    /// Makes a client that asks an instance where to go.
    pub fn client(&self, place: usize) -> Client {
        Client::new(ClientSettings {
            addresses: vec![self.directories[place].to_string()],
            key: KEY.to_owned(),
            max_attempts: 5,
            max_delay: Millis::from_secs(5),
            attempt_timeout: Millis::from_secs(30),
        })
    }

    fn start_instance(&mut self, number: usize) -> Result<(), StandinError> {
        let [callers, health, directory, peers, metrics] = own_addresses();
        let settings = json!({
            "instance": format!("instance-{number}"),
            "ip": callers.ip(),
            "centre": "muscat-a",
            "listen": {
                "callers": callers, "health": health, "directory": directory, "peers": peers,
            },
            "store": self.etcd.address(),
            "metrics": metrics.port(),
            "memory_mb": 64,
            "bounds": {
                "grace_s": 10, "retry_ratio": 0.2, "retry_slack": 10, "quota_window_s": 8,
                "quota_overage": 0.1, "quota_slack": 1000, "keep_s": 5,
            },
        });
        let path = std::env::temp_dir().join(format!("siskinyoke-{}.jsonc", callers.ip()));
        let fault = |err: String| StandinError::Fleet(format!("{}: {err}", path.display()));
        fs::write(&path, settings.to_string()).map_err(|err| fault(err.to_string()))?;
        let settings = Settings::load(&path).map_err(|err| fault(err.to_string()))?;
        self.callers.push(callers);
        self.directories.push(directory);
        self.files.push(path.clone());
        let ended = Arc::clone(&self.ended);
        thread::spawn(move || {
            if let Err(err) = gateway::run_without_log(settings, path) {
                let mut ended = ended.lock().unwrap_or_else(PoisonError::into_inner);
                *ended = Some(err.to_string());
            }
        });
        Ok(())
    }

    fn wait(&self) -> Result<(), StandinError> {
        for place in 0..self.directories.len() {
            let mut client = self.client(place);
            let known = |client: &mut Client| {
                let located = client.locate();
                located.is_ok_and(|it| it.addresses.len() == self.directories.len())
            };
            let mut looks = 0;
            while !known(&mut client) {
                let ended = self.ended.lock().unwrap_or_else(PoisonError::into_inner);
                if let Some(err) = &*ended {
                    return Err(StandinError::Fleet(err.clone()));
                }
                drop(ended);
                if looks == LOOKS {
                    return Err(StandinError::Fleet(format!(
                        "instance {} does not know the others",
                        place + 1
                    )));
                }
                looks += 1;
                client = self.client(place);
                thread::sleep(LOOK);
            }
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for path in &self.files {
            // It lies among temporary files and may be gone.
            drop(fs::remove_file(path));
        }
    }
}

fn engine(speed: f64, slots: u32) -> Result<Engine, StandinError> {
    Engine::start(&EngineConfig {
        models: vec![MODEL.to_owned()],
        speed,
        slots,
        ..EngineConfig::default()
    })
}

fn put(etcd: &Etcd, id: &str, service: &str, address: SocketAddr) {
    let entry = json!({
        "service": service, "address": address, "centre": "muscat-a", "slots": 4,
    });
    etcd.put(&format!("siskinyoke/endpoints/{id}"), &entry.to_string());
}

// Each instance has a loopback address of its own: a free port could be taken by a connection of
// this machine before the instance listens on it.
fn own_addresses() -> [SocketAddr; 5] {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let process = u8::try_from(std::process::id() % 200).unwrap_or(0) + 20;
    let ip = Ipv4Addr::new(127, process, NEXT.fetch_add(1, Ordering::Relaxed), 2);
    [7101, 7102, 7100, 7103, 7109].map(|port| SocketAddr::new(ip.into(), port))
}
