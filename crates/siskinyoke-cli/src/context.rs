//! Options and helpers shared by all commands.

use std::time::Duration;

use clap::Args;
use ureq::Agent;

use siskinyoke_base::Millis;
use siskinyoke_client::Client;
use siskinyoke_client::ClientSettings;
use siskinyoke_interface::Call;

/// The timeout of a request to an instance's metrics page or to the store.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Options shared by all commands.
#[derive(Debug, Clone, Args)]
pub struct Context {
    /// Addresses that are asked, in this order, which instances to use.
    #[arg(
        long = "address",
        global = true,
        value_name = "HOST:PORT",
        env = "SISKINYOKE_ADDRESS",
        value_delimiter = ',',
        default_value = "127.0.0.1:7110"
    )]
    pub addresses: Vec<String>,
    /// The address of the store's HTTP gateway, for operators' commands.
    #[arg(
        long,
        global = true,
        value_name = "HOST:PORT",
        env = "SISKINYOKE_STORE",
        default_value = "127.0.0.1:7001"
    )]
    pub store: String,
    /// The API key, sent as bearer token.
    #[arg(long, global = true, env = "SISKINYOKE_KEY", hide_env_values = true)]
    pub key: Option<String>,
    /// Print the output as JSON.
    #[arg(long, global = true)]
    pub json: bool,
}

impl Context {
    /// Fetches a page of an instance and returns its body.
    ///
    /// # Errors
    ///
    /// A message if no complete response is received.
    pub fn fetch_page(&self, address: &str, path: &str) -> Result<String, String> {
        let response = http_agent().get(format!("http://{address}{path}")).call();
        let mut response = response.map_err(|err| err.to_string())?;
        response
            .body_mut()
            .read_to_string()
            .map_err(|err| err.to_string())
    }

    /// Sends a call to the store and returns the body of the response.
    ///
    /// # Errors
    ///
    /// A message if the store does not respond or reports an error. A write may have taken effect
    /// even so.
    pub fn call_store(&self, call: &Call) -> Result<Vec<u8>, String> {
        let url = format!("http://{}{}", self.store, call.path);
        let response = http_agent().post(url).send(&call.body);
        let mut response = response.map_err(|err| {
            format!(
                "store at {}: {err}; hint: pass its address with --store",
                self.store
            )
        })?;
        let status = response.status();
        let body = response.body_mut().read_to_vec();
        let body = body.map_err(|err| err.to_string())?;
        if status.is_success() {
            return Ok(body);
        }
        Err(format!(
            "the store responded with status {status}: {}",
            String::from_utf8_lossy(&body)
        ))
    }

    /// Creates a client that makes at most `max_attempts` attempts of `attempt_timeout` each.
    pub fn client(&self, max_attempts: u32, attempt_timeout: Millis) -> Client {
        Client::new(ClientSettings {
            addresses: self.addresses.clone(),
            key: self.key.clone().unwrap_or_default(),
            max_attempts,
            max_delay: Millis::from_secs(10),
            attempt_timeout,
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
