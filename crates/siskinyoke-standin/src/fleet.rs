//! A complete small system in one process: etcd, engines, a plain service and instances.

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
use crate::proxy::Cut;
use crate::service::Service;
use crate::service::ServiceConfig;
use siskinyoke_base::Millis;
use siskinyoke_client::Client;
use siskinyoke_client::ClientSettings;
use siskinyoke_gateway::gateway;
use siskinyoke_gateway::settings::Settings;

/// The API key of the fleet's only organisation.
pub const API_KEY: &str = "trial-school";

/// The model that both engines serve.
pub const MODEL_NAME: &str = "qalam-small";

/// The name of the plain service.
pub const SERVICE_NAME: &str = "portal";

/// The configuration of the fleet, with `KEY` in place of the API key's digest.
pub const CONFIGURATION_TEMPLATE: &str = r#"{
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

/// Maximum number of checks whether the fleet has started, one per [`POLL_INTERVAL`].
const MAX_POLLS: usize = 400;

/// Interval of checks whether the fleet has started.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A complete small system in one process.
pub struct Fleet {
    /// The stand-in for etcd.
    pub etcd: Etcd,
    /// A fast and a slow stand-in engine.
    pub engines: Vec<Engine>,
    /// The stand-in for a plain service.
    pub service: Service,
    /// The address for callers of each instance.
    pub caller_addresses: Vec<SocketAddr>,
    /// The directory address of each instance, which lists the instances to use.
    pub directory_addresses: Vec<SocketAddr>,
    settings_files: Vec<PathBuf>,
    instance_error: Arc<Mutex<Option<String>>>,
}

impl Fleet {
    /// Starts a fleet and waits until every instance lists all of them.
    ///
    /// # Errors
    ///
    /// [`StandinError`] if a component cannot be started or is not ready in time.
    pub fn start(instances: usize) -> Result<Self, StandinError> {
        Self::start_with_versions(instances, ["", ""])
    }

    /// Starts a fleet whose engines state these versions of their software.
    ///
    /// # Errors
    ///
    /// As [`Self::start`].
    pub fn start_with_versions(
        instances: usize,
        versions: [&str; 2],
    ) -> Result<Self, StandinError> {
        let mut fleet = Self::without_instances(versions)?;
        let digest = blake3::hash(API_KEY.as_bytes()).to_hex();
        let configuration = CONFIGURATION_TEMPLATE.replace("KEY", &digest);
        fleet.etcd.put("siskinyoke/configuration", &configuration);
        for number in 1..=instances {
            fleet.start_instance(number)?;
        }
        fleet.wait_until_listed()?;
        Ok(fleet)
    }

    /// Starts a fleet with one instance and no configuration, and waits until the instance listens.
    ///
    /// # Errors
    ///
    /// [`StandinError`] if a component cannot be started or does not listen in time.
    pub fn start_unconfigured() -> Result<Self, StandinError> {
        let mut fleet = Self::without_instances(["", ""])?;
        fleet.start_instance(1)?;
        for _ in 0..MAX_POLLS {
            if TcpStream::connect(fleet.caller_addresses[0]).is_ok() {
                return Ok(fleet);
            }
            thread::sleep(POLL_INTERVAL);
        }
        Err(StandinError::Fleet(
            "the instance does not listen on its address for callers".to_owned(),
        ))
    }

    fn without_instances(versions: [&str; 2]) -> Result<Self, StandinError> {
        let etcd = Etcd::start(&EtcdConfig::default())?;
        let engines = vec![start_engine(120.0, 16)?, start_engine(40.0, 4)?];
        let service = Service::start(&ServiceConfig::default())?;
        for (index, (engine, version)) in engines.iter().zip(versions).enumerate() {
            let id = format!("engine-{index}");
            register_endpoint(&etcd, &id, "engines", version, engine.address());
        }
        register_endpoint(&etcd, "portal", SERVICE_NAME, "", service.address());
        Ok(Self {
            etcd,
            engines,
            service,
            caller_addresses: Vec::new(),
            directory_addresses: Vec::new(),
            settings_files: Vec::new(),
            instance_error: Arc::default(),
        })
    }

    /// Creates a client that uses the directory of one instance.
    pub fn client(&self, index: usize) -> Client {
        Client::new(ClientSettings {
            addresses: vec![self.directory_addresses[index].to_string()],
            key: API_KEY.to_owned(),
            max_attempts: 5,
            max_delay: Millis::from_secs(5),
            attempt_timeout: Millis::from_secs(30),
        })
    }

    /// Cuts an instance off from all engines and the service, or ends the cut.
    pub fn set_cut(&self, index: usize, cut: Option<Cut>) {
        let source = self.caller_addresses[index].ip();
        for engine in &self.engines {
            engine.set_cut(source, cut);
        }
        self.service.set_cut(source, cut);
    }

    fn start_instance(&mut self, number: usize) -> Result<(), StandinError> {
        let [callers, health, directory, peers, metrics] = allocate_addresses();
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
        let to_error = |err: String| StandinError::Fleet(format!("{}: {err}", path.display()));
        fs::write(&path, settings.to_string()).map_err(|err| to_error(err.to_string()))?;
        let settings = Settings::load(&path).map_err(|err| to_error(err.to_string()))?;
        self.caller_addresses.push(callers);
        self.directory_addresses.push(directory);
        self.settings_files.push(path.clone());
        let instance_error = Arc::clone(&self.instance_error);
        thread::spawn(move || {
            if let Err(err) = gateway::run_without_log(settings, path) {
                let mut instance_error = instance_error
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                *instance_error = Some(err.to_string());
            }
        });
        Ok(())
    }

    fn wait_until_listed(&self) -> Result<(), StandinError> {
        for index in 0..self.directory_addresses.len() {
            let mut client = self.client(index);
            let lists_all = |client: &mut Client| {
                let located = client.locate();
                located.is_ok_and(|it| it.addresses.len() == self.directory_addresses.len())
            };
            let mut polls = 0;
            while !lists_all(&mut client) {
                let instance_error = self
                    .instance_error
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                if let Some(err) = &*instance_error {
                    return Err(StandinError::Fleet(err.clone()));
                }
                drop(instance_error);
                if polls == MAX_POLLS {
                    return Err(StandinError::Fleet(format!(
                        "instance {} does not list all instances",
                        index + 1
                    )));
                }
                polls += 1;
                client = self.client(index);
                thread::sleep(POLL_INTERVAL);
            }
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for path in &self.settings_files {
            // An error is ignored: the file is temporary and may be deleted already.
            drop(fs::remove_file(path));
        }
    }
}

fn start_engine(speed: f64, slots: u32) -> Result<Engine, StandinError> {
    Engine::start(&EngineConfig {
        models: vec![MODEL_NAME.to_owned()],
        speed,
        slots,
        ..EngineConfig::default()
    })
}

fn register_endpoint(etcd: &Etcd, id: &str, service: &str, version: &str, address: SocketAddr) {
    let entry = json!({
        "service": service, "version": version, "address": address, "centre": "muscat-a", "slots": 4,
    });
    etcd.put(&format!("siskinyoke/endpoints/{id}"), &entry.to_string());
}

// Gives each instance its own loopback address, which also differs from those of other processes
// that start fleets. A free port of a shared address could be taken by
// an outgoing connection of this machine before the instance listens on it.
fn allocate_addresses() -> [SocketAddr; 5] {
    static NEXT_INSTANCE: AtomicU8 = AtomicU8::new(1);
    let [low, middle, ..] = std::process::id().to_le_bytes();
    let process_octet = middle % 100 + 120;
    let own_octet = NEXT_INSTANCE.fetch_add(1, Ordering::Relaxed);
    let ip = Ipv4Addr::new(127, process_octet, low, own_octet);
    [7101, 7102, 7100, 7103, 7109].map(|port| SocketAddr::new(ip.into(), port))
}
