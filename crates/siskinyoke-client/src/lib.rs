//! Client library: locates instances, caches their addresses, sends requests and retries them
//! where that is safe.

mod attempt;
mod client;
mod delivered;
mod error;
mod events;
mod location;
mod outcome;
mod request;
mod reset_connector;

pub use client::Client;
pub use client::ClientSettings;
pub use error::ClientError;
pub use events::Events;
pub use location::Location;
pub use outcome::Outcome;
pub use request::Request;
