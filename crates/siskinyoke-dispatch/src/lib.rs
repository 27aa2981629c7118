//! Decides on which endpoint a request runs, and whether it is queued or refused.
//!
//! The crate is free of I/O: it receives events together with the time and returns decisions. It
//! uses no sockets, threads or clocks and knows no wire format's headers.

pub mod budget;
pub mod cold_start;
pub mod configuration;
pub mod configuration_sources;
pub mod core;
mod cost;
mod crash_list;
mod decay;
mod demand;
pub mod directory;
pub mod endpoint;
pub mod endpoint_speed;
pub mod expected_time;
mod forecast;
pub mod health;
pub mod latency_model;
pub mod leased_entries;
pub mod links;
pub mod message;
pub mod organisation_shares;
pub mod outcome;
mod overload_window;
pub mod part_quarantine;
pub mod peers;
pub mod placement;
pub mod prompt_part;
mod quarantine;
pub mod queue;
pub mod quota;
pub mod rate_limits;
mod recent_successes;
pub mod refusal;
pub mod registry;
mod regression;
pub mod rejection_limits;
pub mod relays;
pub mod report;
mod report_turns;
pub mod requested_backoff;
pub mod retry_denial;
pub mod rollout;
pub mod scheduled_request;
pub mod scheduler;
pub mod shards;
pub mod shutdown;
pub mod silent_attempts;
pub mod size_shares;
pub mod stall_timeout;
pub mod store_era;
pub mod store_update;
pub mod stream_evidence;
pub mod stream_holders;
pub mod stream_key;
pub mod stream_origin;
pub mod stream_question;
pub mod stream_records;
pub mod stream_resumption;
pub mod token_counts;
mod uncleared_runs;
mod unsaved_streams;
pub mod version_history;
pub mod version_key;
mod wait;
pub mod watch;
pub mod watchers;

pub use configuration::CallerLimits;
pub use configuration::Configuration;
pub use configuration::Organisation;
pub use configuration::Route;
pub use configuration::RouteKind;
pub use configuration::Service;
pub use core::Core;
pub use endpoint::Endpoint;
pub use endpoint::EndpointKey;
pub use message::BorrowRequest;
pub use message::Grant;
pub use message::Message;
pub use outcome::Outcome;
pub use prompt_part::PromptPart;
pub use prompt_part::PromptParts;
pub use refusal::Refusal;
pub use refusal::RefusalReason;
pub use registry::Registry;
pub use report::Report;
pub use retry_denial::RetryDenial;
pub use scheduled_request::Priority;
pub use scheduled_request::ScheduledRequest;
pub use scheduled_request::Ticket;
pub use scheduler::Decision;
pub use scheduler::Scheduler;
pub use shutdown::Shutdown;
pub use store_update::StoreUpdate;
pub use stream_evidence::StreamEvidence;
pub use stream_key::StreamKey;
pub use stream_origin::StreamOrigin;
pub use stream_question::StreamQuestion;
pub use token_counts::TokenCounts;
pub use version_key::VersionKey;

use std::hash::Hash;
use std::hash::Hasher;

/// Returns a hash of a value that is the same in every instance.
pub fn stable_hash(value: &impl Hash) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    value.hash(&mut hasher);
    hasher.finish()
}
