//! Capacity leases: how instances share what all of them use, as two machines under one
//! controller.
//!
//! Load pattern: callers keep the address they were given, so demand differs between instances
//! and shifts within seconds. With fixed parts a full instance refuses while another's part lies
//! idle; without limits all instances fill the same endpoint, where no tier is known.

mod allocator;
mod controller;
mod division;
mod holder;

pub use allocator::LeaseAllocator;
pub use controller::LeaseView;
pub use controller::Leases;
pub use division::divide;
pub use holder::Granted;
pub use holder::LeaseHolder;

use siskinyoke_base::Millis;

/// Span between two reports: a shift of load is followed in about two of them.
pub const ROUND: Millis = Millis(900);

/// How long a lease holds, counted from the sending of the report: two rounds and the way of a
/// message, so that one lost report or grant leaves no gap, and what a dead instance held is
/// free again soon.
pub const SPAN: Millis = Millis::from_secs(2);
