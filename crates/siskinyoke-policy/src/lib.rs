//! Every decision under load, as pure code: events and the time go in, decisions come out.

mod adaptive;
mod admission;
mod allowance;
mod demand;
mod dispatch;
mod endpoint;
mod fair;
mod flight;
mod forecast;
mod health;
mod history;
mod intake;
mod length;
mod load;
mod placement;
mod pool;
mod prefix;
pub mod quarantine;
mod queue;
mod ramp;
mod rate;
mod refusal;
mod retry;
mod share;
mod shedding;
mod silence;
mod speed;
mod state;
mod units;
mod weights;

pub mod scheduler;
pub mod simple;
pub mod work;

pub use adaptive::Adaptive;
pub use scheduler::Decision;
pub use scheduler::EndpointSpec;
pub use scheduler::Finish;
pub use scheduler::LoadReport;
pub use scheduler::PresetSpec;
pub use scheduler::Scheduler;
pub use scheduler::TierWeights;
pub use simple::Simple;
pub use work::Work;
pub use work::WorkId;
