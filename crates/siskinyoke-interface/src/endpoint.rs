//! Checks of the values that endpoints' entries state.

use std::net::SocketAddr;

use crate::FormatError;
use siskinyoke_dispatch::Endpoint;

/// The maximum number of slots of an endpoint, far above that of any real one.
///
/// One entry with a greater number would make up nearly all slots of its service.
pub const MAX_ENDPOINT_SLOTS: u32 = 65_535;

/// Checks that an endpoint can be used.
///
/// # Errors
///
/// The address is no IP address with a port to connect to, or the number of slots is out of range.
pub fn check_endpoint(endpoint: Endpoint) -> Result<Endpoint, FormatError> {
    parse_address("address", &endpoint.address)?;
    if !(1..=MAX_ENDPOINT_SLOTS).contains(&endpoint.slots) {
        return Err(FormatError::InvalidValue("slots".into(), "give 1 to 65535"));
    }
    Ok(endpoint)
}

/// Parses an address to which connections and messages can be sent.
///
/// # Errors
///
/// The text is no IP address with a port, or is one that only listeners can use.
pub fn parse_address(field: &str, text: &str) -> Result<SocketAddr, FormatError> {
    let address = text.parse().ok();
    let usable = address.filter(|it: &SocketAddr| it.port() != 0 && !it.ip().is_unspecified());
    usable.ok_or_else(|| FormatError::InvalidValue(field.to_owned(), "give IP:PORT"))
}
