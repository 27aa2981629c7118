//! Words shared by every crate: time, identities, result codes, collections and peer messages.

pub mod call;
pub mod clock;
pub mod code;
pub mod collections;
pub mod identity;
pub mod message;
pub mod names;
pub mod ticket;

pub use call::CallClass;
pub use call::CallHead;
pub use call::Route;
pub use clock::Clock;
pub use clock::Millis;
pub use code::Code;
pub use code::Kind;
pub use collections::Map;
pub use collections::Set;
pub use identity::Identity;
pub use names::DataCentre;
pub use names::EndpointId;
pub use names::Incarnation;
pub use names::InstanceId;
pub use names::ModelId;
pub use names::OrganisationId;
pub use names::TierName;
pub use ticket::Ticket;
