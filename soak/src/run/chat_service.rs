//! A service whose versions come and go.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use crate::Endpoint;

/// The name of the service.
const SERVICE_NAME: &str = "chat";

/// How long endpoints that have left reject requests: longer than any run.
const REJECTION_TIME: Duration = Duration::from_hours(1);

/// A service whose first version stays, and whose further versions come and go.
#[derive(Debug, Default)]
pub(super) struct ChatService {
    endpoints: Vec<Endpoint>,
    endpoint_count: usize,
    version_count: usize,
    /// Whether callers send requests to it.
    pub(super) active: Arc<AtomicBool>,
}

impl ChatService {
    /// Starts endpoints of a new version.
    pub(super) fn join(&mut self, count: usize) {
        self.version_count += 1;
        let version = format!("c{}", self.version_count);
        for _ in 0..count {
            self.endpoint_count += 1;
            let id = format!("chat{}", self.endpoint_count);
            let endpoint = Endpoint::start_with_version(&id, Some(&version));
            self.endpoints.push(endpoint);
        }
    }

    /// Returns whether the service has endpoints.
    pub(super) fn is_used(&self) -> bool {
        self.endpoint_count > 0
    }

    /// Returns key and value of the store's entry of each endpoint of the latest version.
    pub(super) fn entries(&self, state: &str) -> Vec<(String, String)> {
        let latest = self.endpoints.last().and_then(Endpoint::version);
        let endpoints = self.endpoints.iter();
        let endpoints = endpoints.filter(|it| it.version() == latest);
        let entries = endpoints.map(|endpoint| {
            let key = format!("servers/{}", endpoint.id);
            (
                key,
                endpoint.entry_of(SERVICE_NAME, endpoint.address, state),
            )
        });
        entries.collect()
    }

    /// Lets the endpoints of the latest version reject all requests, and forgets them.
    pub(super) fn stop_latest(&mut self) {
        let latest = self.endpoints.last().and_then(Endpoint::version);
        self.endpoints.retain(|endpoint| {
            let stays = endpoint.version() != latest;
            if !stays {
                endpoint.reject_for(REJECTION_TIME);
            }
            stays
        });
    }
}
