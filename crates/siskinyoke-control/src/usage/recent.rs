//! The requests charged lately, which an organisation can see.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use super::LineKey;
use siskinyoke_base::Identity;
use siskinyoke_base::Millis;
use siskinyoke_base::OrganisationId;
use siskinyoke_base::Set;

/// The most requests remembered of one organisation, so that a busy one pushes out no other.
const PER_ORGANISATION: usize = 512;

/// The most requests remembered of all: about 4 MB, a quarter of an hour at 19 a second, which
/// is a daemon's part of the load expected in two years.
const MOST: usize = 16_384;

/// One request that was charged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Charged {
    /// Its identity.
    pub identity: Identity,
    /// The line it was charged to.
    pub line: LineKey,
    /// Prompt tokens charged.
    pub prompt: u64,
    /// Output tokens charged.
    pub output: u64,
    /// When it was charged, on the daemon's own clock.
    pub at: Millis,
}

/// Requests charged lately, bounded for each organisation and in all.
#[derive(Debug, Default)]
pub struct Recent {
    charged: BTreeMap<u64, Charged>,
    numbers: BTreeMap<OrganisationId, VecDeque<u64>>,
    known: Set<Identity>,
    last: u64,
}

impl Recent {
    /// Tells whether a request was charged already.
    pub fn contains(&self, identity: &Identity) -> bool {
        self.known.contains(identity)
    }

    /// Remembers a request.
    pub fn push(&mut self, charged: Charged) {
        self.last += 1;
        let organisation = charged.identity.organisation.clone();
        self.known.insert(charged.identity.clone());
        self.charged.insert(self.last, charged);
        let numbers = self.numbers.entry(organisation).or_default();
        numbers.push_back(self.last);
        if numbers.len() > PER_ORGANISATION {
            let oldest = numbers.front().copied();
            self.remove(oldest);
        }
        if self.charged.len() > MOST {
            let oldest = self.charged.first_key_value().map(|(number, _)| *number);
            self.remove(oldest);
        }
    }

    /// Returns the requests of an organisation, the oldest first.
    pub fn of(&self, organisation: &OrganisationId) -> impl Iterator<Item = &Charged> {
        let numbers = self.numbers.get(organisation).into_iter().flatten();
        numbers.filter_map(|number| self.charged.get(number))
    }

    /// Removes a request, which is the oldest of its organisation.
    fn remove(&mut self, number: Option<u64>) {
        let Some(old) = number.and_then(|number| self.charged.remove(&number)) else {
            return;
        };
        self.known.remove(&old.identity);
        let organisation = &old.identity.organisation;
        let Some(numbers) = self.numbers.get_mut(organisation) else {
            return;
        };
        numbers.pop_front();
        if numbers.is_empty() {
            self.numbers.remove(organisation);
        }
    }
}
