//! The transport between daemons: QUIC with certificates pinned by fingerprint at both ends.

mod certificate;
mod codec;
mod counters;
mod error;
mod incoming;
mod lane;
mod link;
mod server;
mod tls;
mod trust;

pub use certificate::Certificate;
pub use certificate::fingerprint;
pub use counters::Counters;
pub use counters::Totals;
pub use error::PeersError;
pub use lane::Lane;
pub use server::PeerEvent;
pub use server::Peers;
pub use server::PeersSettings;
pub use server::Sink;
pub use trust::Trust;
