//! What an endpoint reports of itself, and restarts under its ID and address.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;

use super::Endpoint;

/// How an endpoint answers a request for its report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Report {
    /// The report states when the endpoint started.
    #[default]
    WithStart,
    /// It does not.
    WithoutStart,
    /// It never arrives.
    Unanswered,
    /// The connection is closed after the first one; all of them state the start.
    ClosedOnce,
}

impl Endpoint {
    /// Sets how it answers requests for its report.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn set_report(&self, report: Report) {
        *self.report.lock().unwrap() = report;
    }

    /// Returns how many requests for its report it received.
    pub fn report_count(&self) -> usize {
        self.report_count.load(Ordering::Relaxed)
    }

    /// Starts anew at once, under its ID and address, as another version: all connections end. Its
    /// entry in the store has to be written then.
    ///
    /// # Panics
    ///
    /// If one of its threads has panicked.
    pub fn restart_as(&self, version: &str) {
        // A connection that is accepted meanwhile is served by the new start.
        let mut crashes = self.crashes.lock().unwrap();
        *self.version.lock().unwrap() = Some(version.to_owned());
        self.restart();
        crashes.close_connections();
    }

    /// Returns the version of its software, if it states one.
    pub(crate) fn version(&self) -> Option<String> {
        self.version.lock().unwrap().clone()
    }

    pub(super) fn write_report(&self, out: &mut TcpStream) -> std::io::Result<()> {
        let number = self.report_count.fetch_add(1, Ordering::Relaxed);
        let report = *self.report.lock().unwrap();
        let start = self.starts.load(Ordering::Relaxed);
        let text = match report {
            Report::WithStart | Report::ClosedOnce => format!(r#"{{"Active":1,"born":{start}}}"#),
            Report::WithoutStart => r#"{"Active":1}"#.to_owned(),
            Report::Unanswered => return Ok(()),
        };
        let closes = report == Report::ClosedOnce && number == 0;
        let connection = if closes { "connection: close\r\n" } else { "" };
        let length = text.len();
        write!(
            out,
            "HTTP/1.1 200 OK\r\n{connection}content-length: {length}\r\n\r\n{text}"
        )
    }
}
