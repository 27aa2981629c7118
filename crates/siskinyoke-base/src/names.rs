//! Names of the things that the system knows.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Makes the name from its text.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// Returns the text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }
    };
}

name_type! {
    /// An instance: a machine that runs a daemon.
    InstanceId
}
name_type! {
    /// A data centre.
    DataCentre
}
name_type! {
    /// An organisation: a team that sends work and is charged for it.
    OrganisationId
}
name_type! {
    /// An endpoint: a model engine or a plain service's server.
    EndpointId
}
name_type! {
    /// A model, or the name of a plain service.
    ModelId
}
name_type! {
    /// A tier of work.
    TierName
}

/// One start of a daemon; drawn at random, so two starts never share it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
