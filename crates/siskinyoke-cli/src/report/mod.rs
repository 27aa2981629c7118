//! Reports for operators and organisations: service-level burn, and the bill.

mod burn;
mod burn_page;
mod daemons;
mod error;
mod page;
mod plot;
mod table;
mod usage;

pub use burn::BurnArgs;
pub use daemons::Daemons;
pub use error::ReportError;
pub use usage::UsageArgs;
