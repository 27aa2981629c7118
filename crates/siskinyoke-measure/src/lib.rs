//! Small stand-ins in virtual time, and the measurements behind `docs/CAPACITY.md`.

pub mod network;

pub use network::Network;
pub use network::Node;
pub use network::Traffic;
