//! The one place that decides with which code a request ends.

use siskinyoke_base::Code;
use siskinyoke_base::Kind;
use siskinyoke_base::message::End;

/// Returns the end of a request for which `end` was decided.
///
/// Guards against a "not run" that did run: a request that was dispatched once, broke, waited
/// for its second dispatch and was then refused would otherwise carry the refusal's code. Once
/// a first byte may have left, no end of kind not-run leaves the daemon.
pub fn honest(end: End, dispatched: bool) -> End {
    if !dispatched || end.code.kind() != Kind::NotRun {
        return end;
    }
    let code = match end.code {
        Code::Late | Code::Overloaded => Code::TimedOut,
        Code::Shed => Code::Cancelled,
        _ => Code::Broken,
    };
    End { code, ..end }
}
