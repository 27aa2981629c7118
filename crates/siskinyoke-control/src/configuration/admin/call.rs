//! A request to the administration API, as it came.

use super::AdminAnswer;
use crate::configuration::Fault;
use siskinyoke_base::Code;

/// A request to the administration API.
#[derive(Debug, Clone, Copy)]
pub struct AdminCall<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// Path and query, with a leading slash.
    pub path: &'a str,
    /// The `Idempotency-Key` header, which is the change's identity.
    pub key: Option<&'a str>,
    /// Digest of the operator's bearer key, if one came.
    pub bearer: Option<&'a [u8; 32]>,
    /// The body.
    pub body: &'a [u8],
}

impl<'a> AdminCall<'a> {
    /// Returns the parts of the path behind `/admin/v1/`.
    pub fn segments(&self) -> Option<Vec<&'a str>> {
        let path = self.path.split('?').next().unwrap_or_default();
        let rest = path.strip_prefix("/admin/v1/")?;
        Some(rest.split('/').collect())
    }

    /// Returns a number from the query.
    ///
    /// # Errors
    ///
    /// [`Code::Malformed`] if the parameter is there and no number.
    pub fn number(&self, name: &str) -> Result<Option<u64>, AdminAnswer> {
        let query = self.path.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let Some((_, text)) = pairs.find(|(key, _)| *key == name) else {
            return Ok(None);
        };
        text.parse().map(Some).map_err(|_| {
            let fault = Fault::new(name, format!("{text:?}"), "a whole number");
            AdminAnswer::new(Code::Malformed).faults(&[fault])
        })
    }

    /// Returns the body as text.
    ///
    /// # Errors
    ///
    /// [`Code::Malformed`] if it is no UTF-8.
    pub fn text(&self) -> Result<&'a str, AdminAnswer> {
        std::str::from_utf8(self.body).map_err(|error| {
            let found = format!("no UTF-8 after {} bytes", error.valid_up_to());
            let fault = Fault::new("(body)", found, "JSON in UTF-8");
            AdminAnswer::new(Code::Malformed).faults(&[fault])
        })
    }
}
