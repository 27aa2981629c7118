//! What is known of the version at which a stream began.

use serde::Deserialize;
use serde::Serialize;

use crate::version_key::VersionKey;

/// What an instance knows of the version at which a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamOrigin {
    /// Nothing.
    Unknown,
    /// Two streams with the same key began at different versions, or instances contradict each
    /// other.
    Ambiguous,
    /// The version.
    Version(VersionKey),
    /// There is no record of the stream, but its service has had no other version for as long as
    /// the stream can have existed.
    OnlyVersion(VersionKey),
}

impl StreamOrigin {
    /// Returns its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Ambiguous => "ambiguous",
            Self::Version(_) => "known",
            Self::OnlyVersion(_) => "only_version",
        }
    }

    /// Returns the version, if it is known.
    pub fn version(self) -> Option<VersionKey> {
        match self {
            Self::Version(version) | Self::OnlyVersion(version) => Some(version),
            Self::Unknown | Self::Ambiguous => None,
        }
    }

    /// Returns whether there is a record of the stream.
    pub fn is_recorded(self) -> bool {
        matches!(self, Self::Version(_) | Self::Ambiguous)
    }

    /// Returns what two instances know together.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        match (self, other) {
            (Self::Unknown, known) | (known, Self::Unknown) => known,
            (Self::Version(version), Self::OnlyVersion(_))
            | (Self::OnlyVersion(_), Self::Version(version)) => Self::Version(version),
            (one, two) if one == two => one,
            _ => Self::Ambiguous,
        }
    }
}
