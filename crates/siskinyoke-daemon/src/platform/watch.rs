//! Waiting for a change of one key.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::time::Instant;

use super::transport::Effect;
use super::transport::Transport;
use super::wire::Number;
use super::wire::Streamed;
use super::wire::WatchCreate;
use super::wire::WatchRequest;
use super::wire::WatchResponse;
use siskinyoke_base::Millis;
use siskinyoke_control::PlatformError;
use siskinyoke_control::platform::Versioned;

const WATCH: &str = "/v3/watch";

/// Keys whose place in the service's history is remembered; a daemon watches far fewer.
const BOOKMARKS: usize = 64;

/// What a read or an event showed of a key.
#[derive(Debug)]
pub struct Seen {
    /// The service's revision at the time.
    pub revision: i64,
    /// The key, if it was there.
    pub value: Option<Versioned>,
}

impl Seen {
    /// Returns the key's version, 0 if it was not there.
    pub fn version(&self) -> u64 {
        self.value.as_ref().map_or(0, |value| value.version)
    }
}

/// Remembers from which revision on each key is to be watched, so that a watch that is taken up
/// again costs one call and no read before it.
#[derive(Debug, Default)]
pub struct Bookmarks {
    places: BTreeMap<String, Place>,
}

#[derive(Debug)]
struct Place {
    version: u64,
    next: i64,
}

impl Bookmarks {
    /// Returns the revision to watch from, if the key was last seen at this version.
    pub fn after(&self, key: &str, version: u64) -> Option<i64> {
        let place = self.places.get(key)?;
        (place.version == version).then_some(place.next)
    }

    /// Notes what was seen, and returns the revision to watch from.
    pub fn note(&mut self, key: &str, seen: &Seen) -> i64 {
        if self.places.len() >= BOOKMARKS && !self.places.contains_key(key) {
            self.places.clear();
        }
        let place = Place {
            version: seen.version(),
            next: seen.revision + 1,
        };
        let next = place.next;
        self.places.insert(key.to_owned(), place);
        next
    }
}

/// How a watch ended.
#[derive(Debug)]
pub enum Watched {
    /// With a change.
    Changed(Seen),
    /// With its time.
    RanOut,
    /// Before its time, by the service or the network.
    Ended,
}

/// Waits for a change of a key from a revision on.
///
/// # Errors
///
/// [`PlatformError::Down`] if the watch could not be opened.
pub fn wait(
    transport: &Transport,
    key: &str,
    start: i64,
    limit: Millis,
) -> Result<Watched, PlatformError> {
    let request = WatchRequest {
        create_request: WatchCreate {
            key: key.into(),
            start_revision: Number(start),
        },
    };
    let begun = Instant::now();
    let ran_out = || begun.elapsed() >= std::time::Duration::from(limit);
    let response = match transport.open(WATCH, &request, Effect::Read, limit) {
        Ok(response) => response,
        Err(_) if ran_out() => return Ok(Watched::RanOut),
        Err(err) => return Err(err),
    };
    match read(response.into_body().into_reader()) {
        Some(seen) => Ok(Watched::Changed(seen)),
        None if ran_out() => Ok(Watched::RanOut),
        None => Ok(Watched::Ended),
    }
}

/// Returns the last change of the first message that brings any; nothing if the stream ends.
fn read(reader: impl Read) -> Option<Seen> {
    for line in BufReader::new(reader).lines() {
        let message: Streamed<WatchResponse> = serde_json::from_str(&line.ok()?).ok()?;
        if message.result.canceled {
            return None;
        }
        let Some(event) = message.result.events.into_iter().last() else {
            continue;
        };
        let revision = event.kv.mod_revision.0;
        let value = Versioned::from(event.kv);
        let value = (value.version > 0).then_some(value);
        return Some(Seen { revision, value });
    }
    None
}
