//! Fakes and helpers shared by the system's tests: cores in virtual time over small fakes.

pub mod configuration;
pub mod endpoint;
pub mod history;
pub mod platform;
pub mod script;
pub mod world;

pub use endpoint::FakeEndpoint;
pub use history::History;
pub use platform::FakePlatform;
pub use script::Script;
pub use world::World;
