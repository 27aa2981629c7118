//! What a relay states of a request that it was sent.

/// What a relay states of a request that it was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayStatus {
    /// The response is the endpoint's.
    Relayed,
    /// The relay could not connect to the endpoint; nothing was sent.
    Unreachable,
    /// The relay did not confirm that the endpoint is the start that its entry names; nothing was
    /// sent.
    Unverified,
    /// The connection to the endpoint broke; the request may have run.
    ConnectionLost,
    /// The relay did not take the request.
    Refused,
}

impl RelayStatus {
    const ALL: [Self; 5] = [
        Self::Relayed,
        Self::Unreachable,
        Self::Unverified,
        Self::ConnectionLost,
        Self::Refused,
    ];

    /// Returns its name in headers and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Relayed => "relayed",
            Self::Unreachable => "unreachable",
            Self::Unverified => "unverified",
            Self::ConnectionLost => "connection-lost",
            Self::Refused => "refused",
        }
    }

    /// Parses a name.
    pub fn parse(text: &[u8]) -> Option<Self> {
        let mut all = Self::ALL.into_iter();
        all.find(|it| it.as_str().as_bytes() == text)
    }
}
