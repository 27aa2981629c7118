//! Small stand-ins in virtual time, and the measurements behind `docs/CAPACITY.md`.

#![expect(
    clippy::cast_precision_loss,
    reason = "figures are printed to three digits"
)]

pub mod cost;
pub mod documents;
pub mod fleet;
pub mod holder;
pub mod limits;
pub mod network;
pub mod requests;
pub mod service;
pub mod wire;

pub use network::Network;
pub use network::Node;
pub use network::Traffic;
