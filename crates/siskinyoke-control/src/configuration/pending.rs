//! One change on its way, from the reading of its base to its outcome.

use std::collections::BTreeSet;

use bytes::Bytes;

use super::Change;
use super::ChangeRequest;
use super::ConfigurationDoc;
use super::Fault;
use super::Manifest;
use super::Outcome;
use super::PageDigest;
use super::RecentChange;
use super::Role;
use super::Stored;
use super::check::check;
use super::effect::Known;
use super::manifest::RETIRED_REVISIONS;
use super::page::PAGE_LIMIT;
use crate::CallId;
use siskinyoke_base::Millis;

/// The most bytes of a manifest; the service holds 1 MiB in a value.
const MANIFEST_LIMIT: usize = 768 * 1024;

/// A change on its way.
#[derive(Debug)]
pub struct Pending {
    /// Whom to tell its outcome.
    pub call: CallId,
    /// What was asked.
    pub request: ChangeRequest,
    /// The operator who asked.
    pub operator: String,
    /// When it is given up.
    pub deadline: Millis,
    /// When the step is to be taken, or taken again.
    pub due: Millis,
    /// How far it is.
    pub step: Step,
    /// Numbers the step, so that an answer to an earlier one is not taken for this one's.
    pub round: u64,
    /// Swaps sent that may have taken or may still take.
    pub unsure: u32,
}

/// How far a change is.
#[derive(Debug)]
pub enum Step {
    /// The manifest is to be read.
    Read,
    /// The service showed this revision, whose pages are still being loaded.
    Load(u64),
    /// The pages of the new revision are being written.
    Write(Box<Attempt>, BTreeSet<PageDigest>),
    /// The manifest is to be swapped.
    Swap(Box<Attempt>),
    /// The swap's answer was lost, and the manifest is to be read again.
    Verify(Box<Attempt>),
}

/// A new revision, ready to be written.
#[derive(Debug)]
pub struct Attempt {
    /// The new revision.
    pub next: Stored,
    /// Pages that the service does not hold yet.
    pub fresh: Vec<(PageDigest, Bytes)>,
    /// Pages that no daemon can want any more.
    pub old: Vec<PageDigest>,
    /// Whether it writes back what is held rather than something new.
    pub restored: bool,
    /// The version of the manifest's key that it follows.
    pub version: u64,
    /// The revision that it follows, or that the service showed.
    pub base: u64,
}

/// What a manifest says of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The attempt's swap took.
    Landed,
    /// The swap did not take and never can.
    Lost,
    /// The swap has not taken so far.
    Open,
    /// The manifest no longer remembers.
    Forgotten,
}

impl Attempt {
    /// Tells whether this attempt makes a change.
    pub fn makes(&self, made: &RecentChange) -> bool {
        let ours = self.next.manifest.recent.back();
        ours.is_some_and(|ours| ours.is_same(made))
    }

    /// Judges by the manifest that the service holds, under its key's version.
    ///
    /// A swap compares the key's version. So once the version has moved without this change's
    /// identity, no late arrival of the swap can take any more; and while it has not moved,
    /// the same swap may be sent again, as only one of the two can take.
    pub fn verdict(&self, manifest: Option<&Manifest>, version: u64) -> Verdict {
        let Some(manifest) = manifest else {
            let same = version == self.version;
            return if same {
                Verdict::Open
            } else {
                Verdict::Forgotten
            };
        };
        let revision = self.next.manifest.revision;
        if manifest.revision >= revision {
            return match manifest.made(revision) {
                Some(made) if self.makes(made) => Verdict::Landed,
                Some(_) => Verdict::Lost,
                None => Verdict::Forgotten,
            };
        }
        if manifest.revision < self.base {
            return Verdict::Forgotten;
        }
        if version == self.version {
            Verdict::Open
        } else {
            Verdict::Lost
        }
    }
}

impl Pending {
    /// Builds the new revision on `base`, checked as a whole.
    ///
    /// # Errors
    ///
    /// The outcome if the change is refused; nothing is written in that case.
    pub fn build(&self, base: Option<&Stored>, version: u64) -> Result<Attempt, Outcome> {
        let revision = base.map_or(0, |base| base.manifest.revision);
        self.known_before(base.map(|base| &base.manifest))?;
        if self
            .request
            .expected
            .is_some_and(|wanted| wanted != revision)
        {
            return Err(Outcome::Conflict { revision });
        }
        let before = base.and_then(Stored::document).unwrap_or_default();
        let mut doc = before.clone();
        let applied = self.request.change.apply(&mut doc);
        applied.map_err(|fault| Outcome::Invalid {
            faults: vec![fault],
        })?;
        let first = base.is_none();
        self.allowed(if first { &doc } else { &before })?;
        refuse(check(&doc))?;
        let Some(next) = revision.checked_add(1) else {
            let fault = Fault::new("revision", revision.to_string(), "fewer than 2^64 changes");
            return Err(Outcome::Invalid {
                faults: vec![fault],
            });
        };
        let change = RecentChange {
            id: self.request.id.clone(),
            revision: next,
            content: self.request.content(),
            operator: self.operator.clone(),
        };
        let next = Stored::following(base, &doc, change);
        refuse(size_faults(&next))?;
        let fresh = fresh_pages(base, &next);
        Ok(Attempt {
            next,
            fresh,
            old: old_pages(base),
            restored: false,
            version,
            base: revision,
        })
    }

    /// Builds the writing back of what is held, with all its pages, into a service that shows
    /// revision `shown`, or the very same manifest.
    ///
    /// # Errors
    ///
    /// The outcome if this daemon does not hold the highest revision, if the service shows
    /// another content of it, or if the operator may not.
    pub fn restore(
        &self,
        known: Known<'_>,
        shown: u64,
        same: bool,
        version: u64,
    ) -> Result<Attempt, Outcome> {
        let held = known.held.filter(|held| {
            let revision = held.manifest.revision;
            revision >= known.highest && (same || shown < revision)
        });
        let held = held.ok_or_else(|| known.older(shown))?;
        let doc = held.document().unwrap_or_default();
        self.allowed(&doc)?;
        let pages = held.pages.iter();
        Ok(Attempt {
            next: held.clone(),
            fresh: pages.map(|(page, bytes)| (*page, bytes.clone())).collect(),
            old: Vec::new(),
            restored: true,
            version,
            base: shown,
        })
    }

    /// Finds the change among those accepted before.
    ///
    /// # Errors
    ///
    /// [`Outcome::Accepted`] if it was accepted, [`Outcome::Reused`] if its identity was used
    /// for something else.
    pub fn known_before(&self, manifest: Option<&Manifest>) -> Result<(), Outcome> {
        let made = manifest.and_then(|manifest| manifest.change(&self.request.id));
        match made {
            Some(made) if made.content == self.request.content() => Err(Outcome::Accepted {
                revision: made.revision,
            }),
            Some(_) => Err(Outcome::Reused),
            None => Ok(()),
        }
    }

    /// Returns the outcome when the time is up.
    pub fn given_up(&self) -> Outcome {
        match self.attempt() {
            Some(attempt) if self.unsure > 0 => Outcome::Unknown { base: attempt.base },
            _ => Outcome::ServiceDown,
        }
    }

    /// Returns the attempt whose swap may have been sent.
    pub fn attempt(&self) -> Option<&Attempt> {
        match &self.step {
            Step::Swap(attempt) | Step::Verify(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// Judges a swap of unknown effect by what came from peers, while the service stays away.
    pub fn seen_elsewhere(&self, known: Known<'_>) -> Option<Outcome> {
        let held = known.held?;
        let attempt = self.attempt()?;
        let revision = attempt.next.manifest.revision;
        if attempt.restored || held.manifest.revision < revision {
            return None;
        }
        let made = held.manifest.made(revision)?;
        if attempt.makes(made) {
            return Some(Outcome::Accepted { revision });
        }
        Some(Outcome::Conflict {
            revision: held.manifest.revision,
        })
    }

    /// Tells whether the change writes back what is held.
    pub fn restores(&self) -> bool {
        self.request.change == Change::Restore
    }

    /// Checks the role against the documents that the change is made on.
    ///
    /// Guards against a daemon that lags: an operator who was removed meanwhile would
    /// otherwise still be let through by the daemon's older view.
    fn allowed(&self, doc: &ConfigurationDoc) -> Result<(), Outcome> {
        let operator = doc.operators.get(&self.operator);
        let role = operator.map(|operator| operator.role);
        if role.is_some_and(|role: Role| role >= self.request.change.role()) {
            Ok(())
        } else {
            Err(Outcome::Forbidden)
        }
    }
}

fn refuse(faults: Vec<Fault>) -> Result<(), Outcome> {
    if faults.is_empty() {
        Ok(())
    } else {
        Err(Outcome::Invalid { faults })
    }
}

/// Checks that every value stays under the service's limit.
fn size_faults(stored: &Stored) -> Vec<Fault> {
    let mut faults = Vec::new();
    let largest = stored.pages.values().map(Bytes::len).max().unwrap_or(0);
    if largest > PAGE_LIMIT {
        let found = format!("a page of {largest} bytes");
        faults.push(Fault::new("(pages)", found, format!("{PAGE_LIMIT} bytes")));
    }
    let size = stored.bytes.len();
    if size > MANIFEST_LIMIT {
        let found = format!("{size} bytes");
        faults.push(Fault::new(
            "(manifest)",
            found,
            format!("{MANIFEST_LIMIT} bytes"),
        ));
    }
    faults
}

fn fresh_pages(base: Option<&Stored>, next: &Stored) -> Vec<(PageDigest, Bytes)> {
    let known = |page: &PageDigest| base.is_some_and(|base| base.pages.contains_key(page));
    let pages = next.pages.iter().filter(|(page, _)| !known(page));
    pages.map(|(page, bytes)| (*page, bytes.clone())).collect()
}

fn old_pages(base: Option<&Stored>) -> Vec<PageDigest> {
    let Some(base) = base else {
        return Vec::new();
    };
    let revision = base.manifest.revision + 1;
    let retired = base.manifest.retired.iter();
    retired
        .filter(|old| old.revision + RETIRED_REVISIONS < revision)
        .map(|old| old.page)
        .collect()
}
