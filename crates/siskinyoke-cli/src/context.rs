//! What every command works with.

use clap::Args;

use siskinyoke_base::Millis;
use siskinyoke_client::Client;
use siskinyoke_client::ClientSettings;

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
