//! Reports from the instances' logs: error budget burn and usage by organisation.

mod burn;
mod error;
mod page;
mod plot;
mod requests;
pub(crate) mod table;
mod usage;

pub use burn::BurnArgs;
pub use error::ReportError;
pub use usage::UsageArgs;
