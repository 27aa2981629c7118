//! Types shared by all crates: time, revisions, result codes and collections.

pub mod clock;
pub mod code;
pub mod collections;
pub mod revision;

pub use clock::Clock;
pub use clock::Millis;
pub use code::Code;
pub use code::OutcomeKind;
pub use collections::Map;
pub use collections::Set;
pub use revision::Revision;
