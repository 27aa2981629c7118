//! Waiting for a change of one key.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;

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

/// Waits for a change of a key from a revision on, and returns the last one of the first message;
/// nothing if the time ran out or the service ended the watch.
///
/// # Errors
///
/// [`PlatformError::Down`] if the watch could not be opened.
pub fn wait(
    transport: &Transport,
    key: &str,
    start: i64,
    limit: Millis,
) -> Result<Option<Seen>, PlatformError> {
    let request = WatchRequest {
        create_request: WatchCreate {
            key: key.into(),
            start_revision: Number(start),
        },
    };
    let response = transport.open(WATCH, &request, Effect::Read, limit)?;
    let reader = BufReader::new(response.into_body().into_reader());
    for line in reader.lines() {
        // The time limit and a service that goes away both end the watch here; the read that
        // follows tells them apart.
        let Ok(line) = line else {
            return Ok(None);
        };
        let Ok(message) = serde_json::from_str::<Streamed<WatchResponse>>(&line) else {
            return Ok(None);
        };
        if message.result.canceled {
            return Ok(None);
        }
        if let Some(event) = message.result.events.into_iter().last() {
            let revision = event.kv.mod_revision.0;
            let value = Versioned::from(event.kv);
            let value = (value.version > 0).then_some(value);
            return Ok(Some(Seen { revision, value }));
        }
    }
    Ok(None)
}
