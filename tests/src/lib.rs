//! Fakes and helpers shared by the system's tests: cores in virtual time over small fakes.

pub mod bill;
pub mod changes;
pub mod configuration;
pub mod endpoint;
pub mod history;
pub mod operators;
pub mod platform;
pub mod queue;
pub mod script;
pub mod world;

pub use changes::Changes;
pub use endpoint::FakeEndpoint;
pub use history::History;
pub use platform::FakePlatform;
pub use queue::Queue;
pub use script::Script;
pub use world::World;
