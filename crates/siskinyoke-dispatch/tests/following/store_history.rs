//! The history of the store: endpoints that leave and configurations, with their sizes.

/// The size of a change other than that of a configuration, and of an entry in the first read.
const ENTRY_BYTES: u32 = 400;

/// The number of entries in the first read.
const FIRST_READ_ENTRIES: u32 = 150;

/// The rate at which operators' writes reach the store, in bytes per ms. A write is acknowledged
/// once all of it has arrived.
const OPERATOR_BYTES_PER_MS: u32 = 1_250;

#[derive(Debug, Clone, Copy)]
enum Change {
    // The number of the endpoint that left: the revision of the change.
    Departure(u64),
    // The size of the configuration.
    Configuration(u32),
}

/// The history of the store; times are in ms.
#[derive(Debug)]
pub struct StoreHistory {
    // The changes by revision, from 1 on, each with the time when readers could first see it.
    changes: Vec<(u64, Change)>,
}

impl StoreHistory {
    /// Creates a history that begins with a configuration of this size.
    pub fn new(configuration: u32) -> Self {
        Self {
            changes: vec![(0, Change::Configuration(configuration))],
        }
    }

    /// Removes the next endpoint.
    pub fn remove_endpoint(&mut self, now: u64) {
        let number = self.revision() + 1;
        self.changes.push((now, Change::Departure(number)));
    }

    /// Replaces the configuration by one of this size.
    pub fn replace_configuration(&mut self, now: u64, bytes: u32) {
        self.changes.push((now, Change::Configuration(bytes)));
    }

    /// Returns the latest revision.
    pub fn revision(&self) -> u64 {
        self.changes.len() as u64
    }

    /// Returns the latest revision at a time.
    pub fn revision_at(&self, now: u64) -> u64 {
        self.changes.iter().filter(|it| it.0 <= now).count() as u64
    }

    /// Returns the numbers of the endpoints that left after one revision and up to another.
    pub fn departures(&self, known: u64, revision: u64) -> impl Iterator<Item = u64> {
        let changes = self.range(known, revision);
        changes.filter_map(|change| match change {
            Change::Departure(number) => Some(number),
            Change::Configuration(_) => None,
        })
    }

    /// Returns whether an endpoint has left by a revision.
    pub fn has_left(&self, number: u64, revision: u64) -> bool {
        self.departures(0, revision).any(|it| it == number)
    }

    /// Returns when an endpoint left.
    pub fn left_at(&self, number: u64) -> Option<u64> {
        let is_departure =
            |it: &&(u64, Change)| matches!(it.1, Change::Departure(n) if n == number);
        Some(self.changes.iter().find(is_departure)?.0)
    }

    /// Returns the revision of the configuration that is in the store at a revision.
    pub fn configuration_at(&self, revision: u64) -> u64 {
        let rows = self.configurations().filter(|row| row.0 <= revision);
        rows.last().map_or(0, |row| row.0)
    }

    /// Returns the revision of the last configuration acknowledged by a time.
    pub fn acknowledged_configuration(&self, now: u64) -> u64 {
        let acknowledged = self.configurations().filter(|row| {
            let arrival = u64::from(base64_bytes(row.2) / OPERATOR_BYTES_PER_MS);
            row.1 + arrival <= now
        });
        acknowledged.last().map_or(0, |row| row.0)
    }

    /// Returns the size of the store's response with the changes after one revision and up to
    /// another, each with all versions of its value.
    pub fn store_bytes(&self, known: u64, revision: u64) -> u32 {
        if known == 0 {
            return base64_bytes(self.full_bytes(revision));
        }
        let sizes = self.range(known, revision).map(change_bytes);
        base64_bytes(sizes.sum())
    }

    /// Returns the size of a peer's response with what changed after one revision and up to another,
    /// other than the configuration.
    pub fn peer_bytes(&self, known: u64, revision: u64) -> u32 {
        if known == 0 {
            return FIRST_READ_ENTRIES * ENTRY_BYTES;
        }
        let is_entry = |it: &Change| matches!(it, Change::Departure(_));
        let entries = self.range(known, revision).filter(is_entry);
        entries.map(change_bytes).sum()
    }

    /// Returns the size of the newest configuration up to a revision.
    pub fn configuration_size(&self, revision: u64) -> u32 {
        let rows = self.configurations().filter(|row| row.0 <= revision);
        rows.last().map_or(0, |row| row.2)
    }

    fn full_bytes(&self, revision: u64) -> u32 {
        FIRST_READ_ENTRIES * ENTRY_BYTES + self.configuration_size(revision)
    }

    // Returns the configurations as revision, time and size.
    fn configurations(&self) -> impl Iterator<Item = (u64, u64, u32)> {
        let rows = self.changes.iter().zip(1..);
        rows.filter_map(|((time, change), revision)| match change {
            Change::Configuration(bytes) => Some((revision, *time, *bytes)),
            Change::Departure(_) => None,
        })
    }

    fn range(&self, known: u64, revision: u64) -> impl Iterator<Item = Change> {
        let [from, to] = [known, revision].map(|it| usize::try_from(it).expect("a small number"));
        let changes = self.changes.get(from..to).unwrap_or_default();
        changes.iter().map(|it| it.1)
    }
}

fn change_bytes(change: Change) -> u32 {
    match change {
        Change::Departure(_) => ENTRY_BYTES,
        Change::Configuration(bytes) => bytes,
    }
}

// Returns the size of a value in Base64.
fn base64_bytes(bytes: u32) -> u32 {
    bytes.div_ceil(3) * 4
}
