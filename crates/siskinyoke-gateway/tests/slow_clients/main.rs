//! Clients that read nothing, read slowly, or send requests that they do not complete.
//!
//! Each test starts processes with little memory or few descriptors. It checks that they live and
//! stay within both, and that an ordinary request is answered while the slow clients are still
//! connected.

mod fixture;
mod ordinary;
mod pages;
mod relayed;
mod requests;
mod responses;
