//! Responses that are given byte by byte.

use std::io::Result;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;

use super::Endpoint;
use super::ReceivedRequest;

/// The text in a script that stands for the ID of the request.
pub const ID_MARK: &str = "{id}";

/// What an endpoint does after the last byte of a script.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScriptEnd {
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Keeps the connection for further requests.
    Keep,
}

/// The bytes of a response, whole or not, and what follows them.
#[derive(Debug, Clone)]
pub struct Script {
    /// The bytes.
    pub text: String,
    /// What follows them.
    pub end: ScriptEnd,
}

impl Endpoint {
    /// Sets the responses to requests whose path contains `scripted`: to those for a whole response,
    /// and to those that go on with a stream.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn set_scripts(&self, whole: Script, resumed: Script) {
        *self.scripts.lock().unwrap() = Some((whole, resumed));
    }

    /// Writes the script for a request, and returns whether the connection is kept.
    pub(super) fn write_script(
        &self,
        request: &ReceivedRequest,
        out: &mut TcpStream,
    ) -> Result<bool> {
        let scripts = self.scripts.lock().unwrap().clone();
        let Some((whole, resumed)) = scripts else {
            return Ok(false);
        };
        let is_resumed = request.header("last-event-id").is_some();
        let script = if is_resumed { resumed } else { whole };
        let id = request.header("siskinyoke-request-id").unwrap_or("");
        out.write_all(script.text.replace(ID_MARK, id).as_bytes())?;
        if script.end == ScriptEnd::Reset {
            set_socket_linger(&*out, Some(Duration::ZERO))?;
        }
        Ok(script.end == ScriptEnd::Keep)
    }
}
