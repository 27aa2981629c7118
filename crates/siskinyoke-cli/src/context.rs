//! What every command works with.

use std::time::Duration;

use clap::Args;
use ureq::Agent;

use siskinyoke_base::Millis;
use siskinyoke_client::Client;
use siskinyoke_client::ClientSettings;
use siskinyoke_interface::Call;

/// How long another process may take to answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Options that every command takes.
#[derive(Debug, Clone, Args)]
pub struct Context {
    /// Addresses that say which instances to use, tried in turn.
    #[arg(
        long = "address",
        global = true,
        value_name = "HOST:PORT",
        env = "SISKINYOKE_ADDRESS",
        value_delimiter = ',',
        default_value = "127.0.0.1:7110"
    )]
    pub addresses: Vec<String>,
    /// The store's gateway, for operators' commands.
    #[arg(
        long,
        global = true,
        value_name = "HOST:PORT",
        env = "SISKINYOKE_STORE",
        default_value = "127.0.0.1:7001"
    )]
    pub store: String,
    /// The bearer key.
    #[arg(long, global = true, env = "SISKINYOKE_KEY", hide_env_values = true)]
    pub key: Option<String>,
    /// Print JSON.
    #[arg(long, global = true)]
    pub json: bool,
}

impl Context {
    /// Reads a page of an instance.
    ///
    /// # Errors
    ///
    /// A sentence if it does not answer.
    pub fn fetch_page(&self, address: &str, path: &str) -> Result<String, String> {
        let answer = http_agent().get(format!("http://{address}{path}")).call();
        let mut answer = answer.map_err(|err| err.to_string())?;
        answer
            .body_mut()
            .read_to_string()
            .map_err(|err| err.to_string())
    }

    /// Makes a call of the store and returns the body of its answer.
    ///
    /// # Errors
    ///
    /// A sentence if it does not answer or refuses; a write may have taken effect then.
    pub fn call_store(&self, call: &Call) -> Result<Vec<u8>, String> {
        let url = format!("http://{}{}", self.store, call.path);
        let answer = http_agent().post(url).send(&call.body);
        let mut answer = answer.map_err(|err| {
            format!(
                "the store at {}: {err}; hint: give its address with --store",
                self.store
            )
        })?;
        let status = answer.status();
        let body = answer.body_mut().read_to_vec();
        let body = body.map_err(|err| err.to_string())?;
        if status.is_success() {
            return Ok(body);
        }
        Err(format!(
            "the store answered {status}: {}",
            String::from_utf8_lossy(&body)
        ))
    }

    /// Makes a caller's client that sends a request at most `sendings` times.
    pub fn client(&self, sendings: u32, limit: Millis) -> Client {
        Client::new(ClientSettings {
            addresses: self.addresses.clone(),
            key: self.key.clone().unwrap_or_default(),
            max_attempts: sendings,
            max_delay: Millis::from_secs(10),
            attempt_timeout: limit,
        })
    }
}

fn http_agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(REQUEST_TIMEOUT))
        .build()
        .into()
}
