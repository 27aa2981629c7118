//! Decides at which version a stream goes on that its caller takes up.

use crate::Refusal;
use crate::RefusalReason;
use crate::Registry;
use crate::StreamQuestion;
use crate::stream_evidence::StreamEvidence;
use crate::stream_origin::StreamOrigin;
use crate::version_history::VersionHistory;
use crate::version_key::VersionKey;
use siskinyoke_base::Millis;

/// The retry delay while the version is not known here, or its endpoints' entries are outdated.
/// Another instance may know it, and the entries change soon.
const UNKNOWN_RETRY_AFTER: Millis = Millis(300);

/// The retry delay if an earlier attempt has no better chance: no endpoint of the version is left, or
/// no instance can know it.
const FINAL_RETRY_AFTER: Millis = Millis::from_secs(30);

/// A stream that its caller takes up.
#[derive(Debug, Clone, Copy)]
pub struct ResumedStream<'a> {
    /// The service that runs it.
    pub service: &'a str,
    /// How long a caller waits for a response.
    pub timeout: Millis,
    /// What is known of the version at which it began.
    pub evidence: StreamEvidence,
}

/// Returns the version at which a stream goes on.
///
/// That is the version at which it began. If no instance has a record of it, that can only be the
/// version of a service that has had no other one for as long as the stream can have existed, by
/// what an instance has seen that followed the store all the while.
///
/// This concludes from what has not been seen, so the view must be current. The same holds where no
/// endpoint of the version is left: otherwise one may have joined.
///
/// Callers of an earlier protocol do not say which stream they take up. No later attempt of theirs
/// has a better chance if the service has had two versions.
///
/// # Errors
///
/// A refusal: the version is not known, or none of its endpoints is left.
pub fn resumed_version(
    now: Millis,
    stream: &ResumedStream<'_>,
    history: &VersionHistory,
    registry: &Registry,
) -> Result<VersionKey, Refusal> {
    let service = stream.service;
    let lifetime = StreamQuestion::stream_lifetime(stream.timeout);
    let only = history.only_seen_version(now, service, lifetime);
    let evidence = stream.evidence;
    let version = match evidence.origin {
        StreamOrigin::Version(version) => version,
        StreamOrigin::Ambiguous => return Err(unknown(FINAL_RETRY_AFTER)),
        StreamOrigin::OnlyVersion(version) if evidence.view_current && only == Some(version) => {
            version
        }
        _ if !evidence.named && history.several(now, service, lifetime).len() > 1 => {
            return Err(unknown(FINAL_RETRY_AFTER));
        }
        _ => return Err(unknown(UNKNOWN_RETRY_AFTER)),
    };
    if registry.serves_version(service, version) {
        return Ok(version);
    }
    // Another instance may know an endpoint of the version sooner.
    if !evidence.view_current || !history.contains(service, version) {
        return Err(unknown(UNKNOWN_RETRY_AFTER));
    }
    Err(no_target(service, version, registry))
}

/// Returns the refusal of a stream no endpoint of whose version is left.
///
/// An endpoint whose entry is outdated may have started again as the same version, which its next
/// entry says.
pub fn no_target(service: &str, version: VersionKey, registry: &Registry) -> Refusal {
    if registry.has_outdated(service, version) {
        return Refusal {
            reason: RefusalReason::NoEndpoint,
            retry_after: UNKNOWN_RETRY_AFTER,
        };
    }
    Refusal {
        reason: RefusalReason::VersionGone,
        retry_after: FINAL_RETRY_AFTER,
    }
}

fn unknown(retry_after: Millis) -> Refusal {
    Refusal {
        reason: RefusalReason::VersionUnknown,
        retry_after,
    }
}
