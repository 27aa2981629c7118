//! Reads the usage of one day from the platform's service.

use super::Day;
use super::Statement;
use super::stored;
use crate::OpId;
use crate::Outbox;
use crate::PlatformError;
use crate::PlatformReply;
use crate::PlatformRequest;
use crate::Reply;
use crate::platform::Versioned;

/// The most keys read at once; a day has a few for each daemon start.
const MOST: u32 = 10_000;

/// A reading under way; two calls to the service.
#[derive(Debug)]
pub struct Reader {
    day: Day,
    op: OpId,
    records: Option<Vec<Versioned>>,
}

impl Reader {
    /// Begins to read a day: records first, then totals, as [`Statement::new`] needs it.
    pub fn start(out: &mut Outbox, day: Day) -> Self {
        let op = list(out, format!("{}{day}/", stored::RECORDS));
        let records = None;
        Self { day, op, records }
    }

    /// Takes an answer; returns the statement when it is whole, `None` while it is not.
    ///
    /// # Errors
    ///
    /// The platform's, if it did not answer; reading again is safe.
    pub fn reply(
        &mut self,
        out: &mut Outbox,
        op: OpId,
        reply: &Reply,
    ) -> Result<Option<Statement>, PlatformError> {
        if op != self.op {
            return Ok(None);
        }
        let PlatformReply::Values(values) = reply.clone()? else {
            return Ok(None);
        };
        let Some(records) = self.records.take() else {
            self.records = Some(values);
            self.op = list(out, format!("{}{}/", stored::TOTALS, self.day));
            return Ok(None);
        };
        Ok(Some(Statement::new(&records, &values)))
    }
}

fn list(out: &mut Outbox, prefix: String) -> OpId {
    let limit = MOST;
    out.platform(PlatformRequest::List { prefix, limit })
}
