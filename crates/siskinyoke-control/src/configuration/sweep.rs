//! The removal of pages that nobody can want any more.

use std::collections::BTreeMap;

use super::PageDigest;
use super::manifest::page_key;
use super::pending::Attempt;
use crate::Context;
use crate::OpId;
use crate::PlatformReply;
use crate::PlatformRequest;
use crate::Reply;

/// Removes pages from the service.
#[derive(Debug, Default)]
pub struct Sweep {
    ops: BTreeMap<OpId, PageDigest>,
}

impl Sweep {
    /// Removes pages that left the manifest many revisions ago.
    ///
    /// They are removed before the swap: if this daemon dies in between, the manifest still
    /// lists them, and the next change removes them again.
    pub fn retire(&mut self, cx: &mut Context<'_>, attempt: &Attempt) {
        for page in &attempt.old {
            self.remove(cx, *page, 1);
        }
    }

    /// Removes the pages of an attempt that can never take.
    pub fn discard(&mut self, cx: &mut Context<'_>, attempt: &Attempt) {
        if attempt.restored {
            return;
        }
        for (page, _) in &attempt.fresh {
            self.remove(cx, *page, 1);
        }
    }

    /// Takes the platform's answer; returns false if the request was another's.
    pub fn reply(&mut self, cx: &mut Context<'_>, op: OpId, reply: &Reply) -> bool {
        let Some(page) = self.ops.remove(&op) else {
            return false;
        };
        // A page whose write was sent twice has a higher version.
        if let Ok(PlatformReply::Swapped {
            done: false,
            current: Some(current),
        }) = reply
        {
            self.remove(cx, page, current.version);
        }
        true
    }

    fn remove(&mut self, cx: &mut Context<'_>, page: PageDigest, expected: u64) {
        let key = page_key(page);
        let op = cx.out.platform(PlatformRequest::Remove { key, expected });
        self.ops.insert(op, page);
    }
}
