//! Where the platform is.

use serde::Deserialize;
use serde::Serialize;

use siskinyoke_base::Millis;

/// Addresses of the platform's services and the patience with them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Addresses `host:port` of the key-value service's JSON gateway, tried in this order.
    pub kv: Vec<String>,
    /// URL of the instance list.
    #[serde(default)]
    pub instances: Option<String>,
    /// The most time that a call may take, in milliseconds; a watch has its own besides.
    #[serde(default = "usual_limit")]
    pub limit: Millis,
}

/// A hundred times the milliseconds in which the service usually answers, and still short beside
/// the seconds within which a change has to be in force everywhere.
fn usual_limit() -> Millis {
    Millis(1000)
}
