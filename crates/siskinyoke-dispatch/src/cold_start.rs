//! What an instance does before it knows a configuration.
//!
//! The load: all instances stop under full traffic and start again while the store is still silent. Their
//! callers come back at once, each with one retry or two.

use siskinyoke_base::Millis;

/// How long the first reading of the store stays unanswered before it is asked for again on another connection.
///
/// A call that reached a silent store is lost, and the store does not say when it is back.
pub const REPEAT: Millis = Millis(200);

/// The most calls of one first reading that are in flight at once.
pub const MOST_CALLS: u32 = 5;
