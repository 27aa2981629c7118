//! Which versions each service's endpoints have had.

use std::sync::Arc;

use crate::Endpoint;
use crate::report::short_hash;
use crate::version_key::VersionKey;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;
use siskinyoke_base::Revision;

/// How long a version is remembered after its last endpoint is gone.
const VERSION_RETENTION: Millis = Millis::from_secs(600);

/// How long the store must have been followed before its note of a service's versions is used. The
/// first read may be seconds old.
const CATCH_UP_TIME: Millis = Millis::from_secs(2);

/// The versions that a service's endpoints have had lately, as noted in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionNote {
    /// The service.
    pub service: Arc<str>,
    /// The versions, in order.
    pub versions: Vec<Arc<str>>,
    /// The store revision of the note.
    pub revision: Revision,
}

#[derive(Debug)]
struct SeenVersion {
    name: Arc<str>,
    last_present: Millis,
}

#[derive(Debug, Default)]
struct ServiceVersions {
    // Since when no version can have been missed.
    complete_since: Option<Millis>,
    seen: Map<VersionKey, SeenVersion>,
    note: Option<VersionNote>,
}

impl ServiceVersions {
    fn record(&mut self, now: Millis, service: &str, version: &Arc<str>) {
        let key = VersionKey::new(service, version);
        let seen = SeenVersion {
            name: version.clone(),
            last_present: now,
        };
        self.seen.insert(key, seen);
    }

    // Returns whether no version that was present in a period can have been missed.
    fn is_complete(&self, now: Millis, period: Millis) -> bool {
        let needed = if self.note.is_some() {
            CATCH_UP_TIME.min(period)
        } else {
            period
        };
        self.has_watched(now, needed)
    }

    fn has_watched(&self, now: Millis, period: Millis) -> bool {
        self.complete_since
            .is_some_and(|since| now.since(since) >= period)
    }

    fn seen_in(
        &self,
        now: Millis,
        period: Millis,
    ) -> impl Iterator<Item = (&VersionKey, &Arc<str>)> {
        let seen = self.seen.iter();
        let recent = seen.filter(move |row| now.since(row.1.last_present) <= period);
        recent.map(|(key, version)| (key, &version.name))
    }
}

/// Which versions each service's endpoints have had.
#[derive(Debug, Default)]
pub struct VersionHistory {
    services: Map<Arc<str>, ServiceVersions>,
}

impl VersionHistory {
    /// Records the version of an endpoint that is present, if only for a moment.
    pub fn record(&mut self, now: Millis, endpoint: &Endpoint) {
        let versions = self.services.entry(endpoint.service.clone()).or_default();
        versions.record(now, &endpoint.service, &endpoint.version);
    }

    /// Records the present endpoints.
    pub fn observe<'a>(&mut self, now: Millis, endpoints: impl Iterator<Item = &'a Endpoint>) {
        for endpoint in endpoints {
            self.record(now, endpoint);
            if let Some(versions) = self.services.get_mut(&endpoint.service) {
                versions.complete_since.get_or_insert(now);
            }
        }
        for versions in self.services.values_mut() {
            versions
                .seen
                .retain(|_, it| now.since(it.last_present) < VERSION_RETENTION);
        }
        self.services
            .retain(|_, it| !it.seen.is_empty() || it.note.is_some());
    }

    /// Records the note that the store holds. Its versions count as present until now, as it does
    /// not say when each of them left.
    pub fn record_note(&mut self, now: Millis, note: VersionNote) {
        let versions = self.services.entry(note.service.clone()).or_default();
        for version in &note.versions {
            versions.record(now, &note.service, version);
        }
        versions.note = Some(note);
    }

    /// Records that the store holds no note of a service.
    pub fn remove_note(&mut self, service: &str) {
        if let Some(versions) = self.services.get_mut(service) {
            versions.note = None;
        }
    }

    /// Returns the note to write to the store if that of a service differs from what was seen in a
    /// period; its revision is that of the note to replace, zero if there is none.
    ///
    /// The first note is written, and a version is left out of one, once no version of the period
    /// can have been missed.
    pub fn due_note(&self, now: Millis, service: &Arc<str>, period: Millis) -> Option<VersionNote> {
        let seen = self.services.get(service)?;
        seen.complete_since?;
        let mut versions: Vec<_> = seen.seen_in(now, period).map(|it| it.1.clone()).collect();
        let watched = seen.has_watched(now, period);
        if let Some(note) = &seen.note
            && !watched
        {
            versions.extend(note.versions.iter().cloned());
        }
        versions.sort_unstable();
        versions.dedup();
        let is_due = match &seen.note {
            Some(note) => note.versions != versions,
            None => watched,
        };
        let note = VersionNote {
            service: service.clone(),
            versions,
            revision: seen.note.as_ref().map_or(Revision::ZERO, |it| it.revision),
        };
        (is_due && !note.versions.is_empty()).then_some(note)
    }

    /// Records that endpoints may come and go without being noticed here.
    pub fn interrupt(&mut self) {
        for versions in self.services.values_mut() {
            versions.complete_since = None;
        }
    }

    /// Returns the version of a service that has had no other one for a period, given the hash of
    /// its name.
    pub fn only_version(&self, now: Millis, service: u32, period: Millis) -> Option<VersionKey> {
        let mut services = self.services.iter();
        let (service, versions) = services.find(|row| short_hash(row.0) == service)?;
        if !versions.is_complete(now, period) {
            return None;
        }
        self.only_seen_version(now, service, period)
    }

    /// Returns whether any service has had several versions lately.
    pub fn any_has_several(&self) -> bool {
        self.services.values().any(|it| it.seen.len() > 1)
    }

    /// Returns the versions of a service that were seen in a period if there are several.
    pub fn several(&self, now: Millis, service: &str, period: Millis) -> Vec<VersionKey> {
        let versions = self.services.get(service).into_iter();
        let seen = versions.flat_map(|it| it.seen_in(now, period));
        let keys: Vec<_> = seen.map(|it| *it.0).collect();
        if keys.len() > 1 { keys } else { Vec::new() }
    }

    /// Returns the only version of a service that was seen in a period, although others may have
    /// been missed.
    pub fn only_seen_version(
        &self,
        now: Millis,
        service: &str,
        period: Millis,
    ) -> Option<VersionKey> {
        let versions = self.services.get(service)?;
        let mut present = versions.seen_in(now, period);
        let only = *present.next()?.0;
        present.next().is_none().then_some(only)
    }

    /// Returns whether a service has had a version.
    pub fn contains(&self, service: &str, version: VersionKey) -> bool {
        let versions = self.services.get(service);
        versions.is_some_and(|it| it.seen.contains_key(&version))
    }
}
