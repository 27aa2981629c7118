//! What every command works with.

use std::time::Duration;

use clap::Args;

use crate::report::Daemons;
use siskinyoke_base::Millis;
use siskinyoke_client::Client;
use siskinyoke_client::ClientSettings;

/// How long a daemon may take to answer.
const PATIENCE: Duration = Duration::from_secs(5);

/// Options that every command takes.
#[derive(Debug, Clone, Args)]
pub struct Context {
    /// Addresses of the system, tried in turn.
    #[arg(
        long = "address",
        global = true,
        value_name = "HOST:PORT",
        env = "SISKINYOKE_ADDRESS",
        value_delimiter = ',',
        default_value = "127.0.0.1:7101"
    )]
    pub addresses: Vec<String>,
    /// The bearer key.
    #[arg(long, global = true, env = "SISKINYOKE_KEY", hide_env_values = true)]
    pub key: Option<String>,
    /// Print JSON.
    #[arg(long, global = true)]
    pub json: bool,
}

impl Context {
    /// Reads a page of a daemon's as JSON.
    ///
    /// # Errors
    ///
    /// A sentence if the daemon does not answer or refuses.
    pub fn get(&self, address: &str, path: &str) -> Result<serde_json::Value, String> {
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(PATIENCE))
            .build()
            .into();
        let bearer = format!("Bearer {}", self.key.as_deref().unwrap_or_default());
        let answer = agent
            .get(format!("http://{address}{path}"))
            .header("Authorization", bearer);
        let mut answer = answer.call().map_err(|err| err.to_string())?;
        let body: serde_json::Value = answer
            .body_mut()
            .read_json()
            .map_err(|err| err.to_string())?;
        if answer.status().is_success() {
            return Ok(body);
        }
        let text = body["text"].as_str().unwrap_or("it cannot be read");
        Err(format!("refused with {}: {text}", body["code"]))
    }

    /// Makes a caller's client that sends a request at most `sendings` times.
    pub fn client(&self, sendings: u32, limit: Millis) -> Client {
        Client::new(ClientSettings {
            addresses: self.addresses.clone(),
            key: self.key.clone().unwrap_or_default(),
            sendings,
            wait: Millis::from_secs(10),
            limit,
        })
    }
}

impl Daemons for Context {
    fn get(&self, address: &str, path: &str) -> Result<serde_json::Value, String> {
        Self::get(self, address, path)
    }
}
