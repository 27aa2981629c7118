//! The platform's services, asked over the network.

pub mod etcd;
pub mod pool;
pub mod settings;
mod transport;
mod watch;
mod wire;

pub use etcd::EtcdGateway;
pub use pool::PlatformPool;
pub use settings::PlatformSettings;

use siskinyoke_control::PlatformError;
use siskinyoke_control::PlatformReply;
use siskinyoke_control::PlatformRequest;

/// Carries requests of the core to the platform; a call holds its thread until it is answered.
pub trait PlatformService: Send {
    /// Makes one call.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Down`] if it cannot have taken effect, [`PlatformError::Lost`] if it may.
    fn call(&mut self, request: &PlatformRequest) -> Result<PlatformReply, PlatformError>;
}
