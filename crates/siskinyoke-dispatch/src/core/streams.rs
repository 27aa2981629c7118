//! The versions at which streams began and go on.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::Refusal;
use crate::StreamQuestion;
use crate::Ticket;
use crate::core::Core;
use crate::core::RoutedRequest;
use crate::report::InstanceLocation;
use crate::stream_evidence::StreamEvidence;
use crate::stream_holders;
use crate::stream_key::StreamKey;
use crate::stream_origin::StreamOrigin;
use crate::stream_resumption;
use crate::stream_resumption::ResumedStream;
use crate::version_history::VersionNote;
use crate::version_key::VersionKey;
use siskinyoke_base::Millis;

/// The shortest time for which records of streams are collected before they are written.
const MIN_SAVE_INTERVAL: Millis = Millis(250);

/// The longest time between two observations of the endpoints' versions of a process that runs.
const MAX_OBSERVATION_GAP: Millis = Millis(2_000);

/// How much longer they are collected for each instance of the fleet.
const SAVE_INTERVAL_PER_INSTANCE: Millis = Millis(10);

impl Core {
    /// Records that a stream began, or went on, at a version at this instance.
    pub fn record_own_stream(&mut self, now: Millis, key: StreamKey, version: VersionKey) {
        self.streams.record(now, key, version);
        self.unsaved_streams.push(now, key, version);
    }

    /// Records that streams began, or went on, at versions at another instance.
    pub fn record_streams(&mut self, now: Millis, records: &[(StreamKey, VersionKey)]) {
        let writes = self.watcher(now) == self.identity.name;
        for (key, version) in records {
            if writes && self.streams.origin(now, *key) == StreamOrigin::Unknown {
                self.unsaved_streams.push(now, *key, *version);
            }
            self.streams.record(now, *key, *version);
        }
    }

    /// Records what the store holds of streams.
    pub fn restore_streams(&mut self, now: Millis, records: &[(StreamKey, VersionKey)]) {
        for (key, version) in records {
            self.streams.record(now, *key, *version);
        }
    }

    /// Removes and returns the records that this instance has to write to the store, or to tell
    /// the instance that does: those of streams at services with several versions.
    ///
    /// While a service has one version, a stream goes on there without a record.
    pub fn take_unsaved_streams(&mut self, now: Millis) -> Vec<(StreamKey, VersionKey)> {
        if !self.versions.any_has_several() {
            return Vec::new();
        }
        let lifetimes = self.stream_lifetimes();
        let rows = lifetimes.iter();
        let several = rows.flat_map(|(service, lifetime)| {
            let versions = &self.versions;
            versions.several(now, service, *lifetime)
        });
        let several = several.collect();
        let longest = lifetimes.into_values().max().unwrap_or_default();
        let oldest = Millis(now.0.saturating_sub(longest.0));
        self.unsaved_streams.remove_before(oldest);
        self.unsaved_streams.take(&several)
    }

    /// Returns the instance that writes records of streams to the store, if it is another one.
    pub fn stream_writer(&self, now: Millis) -> Option<&InstanceLocation> {
        let writer = self.watcher(now);
        let mut peers = self.peers.all().filter(|it| it.info.name == writer);
        peers.next().map(|it| &it.info.location)
    }

    /// Returns how long records of streams are collected before they are written to the store.
    ///
    /// All instances read each write, so there are fewer in a large fleet.
    pub fn stream_save_interval(&self, now: Millis) -> Millis {
        let instances = self.peers.instance_count(now) as u64;
        MIN_SAVE_INTERVAL.max(Millis(SAVE_INTERVAL_PER_INSTANCE.0 * instances))
    }

    /// Returns what this instance knows of the version at which a stream began.
    pub fn stream_origin(&self, now: Millis, question: &StreamQuestion) -> StreamOrigin {
        let recorded = self.streams.origin(now, question.key);
        if recorded != StreamOrigin::Unknown {
            return recorded;
        }
        // A process that was suspended has not noticed it before its next observation.
        if self.was_suspended(now) {
            return StreamOrigin::Unknown;
        }
        let max_age = Millis(u64::from(question.max_age));
        let only = self.versions.only_version(now, question.service, max_age);
        only.map_or(StreamOrigin::Unknown, StreamOrigin::OnlyVersion)
    }

    /// Returns the number of streams whose versions are recorded.
    pub fn stream_count(&self) -> usize {
        self.streams.len()
    }

    /// Returns the streams whose versions are recorded, each with the other instances that hold its
    /// record.
    pub fn recorded_streams(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = (StreamKey, VersionKey, Vec<&InstanceLocation>)> {
        let known = self.streams.known(now);
        known.map(|(key, version)| (key, version, self.stream_holders(key)))
    }

    /// Returns the other instances that hold the record of a stream that begins here.
    pub fn stream_holders(&self, key: StreamKey) -> Vec<&InstanceLocation> {
        let own_centre = &self.identity.location.centre;
        stream_holders::holders(key, own_centre, self.known_instances())
    }

    /// Returns the other instances to ask for the record of a stream, in two rounds.
    pub fn stream_instances(
        &self,
        key: StreamKey,
    ) -> (Vec<&InstanceLocation>, Vec<&InstanceLocation>) {
        stream_holders::instances_to_ask(key, self.known_instances())
    }

    /// Queues a request that goes on with a stream, for endpoints of the version at which the
    /// stream began.
    ///
    /// # Errors
    ///
    /// As [`Self::admit`]; also if the version is not known or has no endpoint left.
    pub fn admit_resumed(
        &mut self,
        now: Millis,
        request: &RoutedRequest,
        fingerprint: u64,
        evidence: StreamEvidence,
    ) -> Result<Ticket, Refusal> {
        let stream = ResumedStream {
            service: &request.service,
            timeout: request.route.timeout,
            evidence,
        };
        let version =
            stream_resumption::resumed_version(now, &stream, &self.versions, &self.registry);
        match version {
            Ok(version) => self.admit_at(now, request, fingerprint, Some(version)),
            Err(refusal) => {
                self.refund(request);
                Err(refusal)
            }
        }
    }

    /// Returns the notes of services' versions that this instance has to write to the store, from
    /// which processes learn them after all instances have been killed.
    ///
    /// They are written for services with streams that callers may take up, by the instance that
    /// watches the store for the first shard; every instance may read them.
    pub fn due_version_notes(&self, now: Millis) -> Vec<VersionNote> {
        let writes = self.shard == 0 && !self.is_shutting_down() && self.reaches_store();
        if !writes || self.watcher(now) != self.identity.name {
            return Vec::new();
        }
        let lifetimes = self.stream_lifetimes().into_iter();
        lifetimes
            .filter_map(|(service, lifetime)| self.versions.due_note(now, service, lifetime))
            .collect()
    }

    // Returns the services with streams that callers may take up, and for how long at most.
    fn stream_lifetimes(&self) -> BTreeMap<&Arc<str>, Millis> {
        let mut lifetimes: BTreeMap<&Arc<str>, Millis> = BTreeMap::new();
        let routes = self.configuration.iter().flat_map(|it| it.routes());
        for route in routes.filter(|it| it.resumable) {
            let lifetime = StreamQuestion::stream_lifetime(route.timeout);
            for (service, _) in &route.targets {
                let longest = lifetimes.entry(service).or_default();
                *longest = lifetime.max(*longest);
            }
        }
        lifetimes
    }

    /// Returns whether a service has an endpoint that accepts streams of a version.
    pub fn serves_version(&self, service: &str, version: VersionKey) -> bool {
        self.registry.serves_version(service, version)
    }

    /// Records that endpoints may have come and gone without being noticed, as the next changes are
    /// the store's contents at some time.
    pub fn interrupt_version_history(&mut self) {
        self.versions.interrupt();
    }

    // Records which versions endpoints have. Versions may come and go unnoticed while the process is
    // suspended, and while neither this instance nor a peer reaches the store or the changes that a
    // peer has do not arrive.
    pub(super) fn observe_versions(&mut self, now: Millis) {
        let mut reporting = self.peers.fresh(now);
        let reached = self.reaches_store() || reporting.any(|it| it.report.store_reachable);
        drop(reporting);
        if self.was_suspended(now) {
            self.versions.interrupt();
        }
        self.observed_at = Some(now);
        if reached && !self.lags_behind_peers(now) {
            self.record_versions(now);
        } else {
            self.versions.interrupt();
        }
    }

    // Returns whether the last observation of the versions is older than it is in a process that
    // runs.
    fn was_suspended(&self, now: Millis) -> bool {
        let observed = self.observed_at;
        observed.is_some_and(|at| now.since(at) > MAX_OBSERVATION_GAP)
    }

    pub(super) fn record_versions(&mut self, now: Millis) {
        let endpoints = self.registry.all().map(|it| &**it);
        self.versions.observe(now, endpoints);
    }

    // Returns the other instances, from the store's list and from reports.
    fn known_instances(&self) -> impl Iterator<Item = &InstanceLocation> {
        let listed = self.other_instances().map(|row| row.0);
        let peers = self.peers.all().map(|it| &it.info.location);
        let own = &self.identity.location.peer_address;
        listed
            .chain(peers)
            .filter(move |it| it.peer_address != *own)
    }
}
