//! A randomized soak test that injects faults into real gateway processes, and the stand-ins for
//! the store and the endpoints around them.

pub mod admission;
pub mod announcements;
pub mod checker;
pub mod client;
pub mod configuration;
pub mod endpoint;
pub mod instance;
pub mod poison;
pub mod process_usage;
pub mod proxy;
pub mod run;
pub mod slow_clients;
pub mod store;
pub mod stream;
pub mod unmarked;

pub use endpoint::Endpoint;
pub use instance::Instance;
pub use process_usage::ProcessUsage;
pub use proxy::Proxy;
pub use slow_clients::SlowClients;
pub use store::Store;
