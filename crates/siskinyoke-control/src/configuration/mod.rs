//! Configuration: the operators' documents and the view of them that requests are decided by.

mod document;
mod view;

pub use document::ConfigurationDoc;
pub use document::EndpointDoc;
pub use document::EndpointKind;
pub use document::Fencing;
pub use document::OperatorDoc;
pub use document::OrganisationDoc;
pub use document::PresetDoc;
pub use document::Role;
pub use document::RouteDoc;
pub use document::TierDoc;
pub use document::TierPreset;
pub use view::Resolved;
pub use view::View;
