//! The one place that decides with which code a request ends.

use siskinyoke_base::Code;
use siskinyoke_base::Kind;
use siskinyoke_base::message::End;

/// What may have happened to a request before its end.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Past {
    /// No first byte of it can have left for an endpoint, under any sending.
    #[default]
    Untouched,
    /// An earlier sending of it may have run, here or elsewhere.
    Earlier,
    /// A first byte of this sending may have left.
    Dispatched,
}

/// Returns the end of a request for which `end` was decided.
///
/// Guards against a "not run" that did run. It would show where a request was dispatched once,
/// broke, waited for its second dispatch and was then refused; and where a caller sends again
/// what an instance that died had run, and is refused for some other reason. Only a request
/// with an untouched past gets an end of kind not-run.
pub fn honest(end: End, past: Past) -> End {
    if end.code.kind() != Kind::NotRun {
        return end;
    }
    let code = match past {
        Past::Untouched => return end,
        Past::Earlier => Code::EarlierUnknown,
        Past::Dispatched => match end.code {
            Code::Late | Code::Overloaded => Code::TimedOut,
            Code::Shed => Code::Cancelled,
            _ => Code::Broken,
        },
    };
    let detail = format!("{}: {}", end.code, end.code.text());
    End {
        code,
        detail,
        ..end
    }
}
