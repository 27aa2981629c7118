//! Links of limited bandwidth, whose transfers share the capacity evenly.

use std::collections::BTreeMap;

/// One end of a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Host {
    Store,
    Instance(usize),
}

/// Identifies a transfer.
pub type TransferId = u64;

#[derive(Debug)]
struct Transfer {
    from: Host,
    to: Host,
    remaining: f64,
}

/// The links of all hosts, each with the same capacity in both directions.
#[derive(Debug)]
pub struct Links {
    // Capacities in bytes per ms.
    store: f64,
    instance: f64,
    transfers: BTreeMap<TransferId, Transfer>,
    started: TransferId,
}

impl Links {
    /// Creates idle links; capacities are given in Mbit/s.
    pub fn new(store_mbps: u32, instance_mbps: u32) -> Self {
        let bytes_per_ms = |mbps: u32| f64::from(mbps) * 1e6 / 8.0 / 1e3;
        Self {
            store: bytes_per_ms(store_mbps),
            instance: bytes_per_ms(instance_mbps),
            transfers: BTreeMap::new(),
            started: 0,
        }
    }

    /// Starts a transfer.
    pub fn start(&mut self, from: Host, to: Host, bytes: u32) -> TransferId {
        self.started += 1;
        let transfer = Transfer {
            from,
            to,
            remaining: f64::from(bytes),
        };
        self.transfers.insert(self.started, transfer);
        self.started
    }

    /// Ends a transfer, complete or not.
    pub fn finish(&mut self, id: TransferId) {
        self.transfers.remove(&id);
    }

    /// Ends all transfers from and to a host, none of which will be complete.
    pub fn reset(&mut self, host: Host) {
        self.transfers
            .retain(|_, it| it.from != host && it.to != host);
    }

    /// Returns whether all bytes of a transfer have arrived.
    pub fn is_complete(&self, id: TransferId) -> bool {
        let transfer = self.transfers.get(&id);
        transfer.is_some_and(|it| it.remaining <= 0.0)
    }

    /// Moves bytes for a number of ms, between hosts that are `active`.
    pub fn advance(&mut self, ms: u64, active: impl Fn(Host) -> bool) {
        let mut sending: BTreeMap<Host, u32> = BTreeMap::new();
        let mut receiving: BTreeMap<Host, u32> = BTreeMap::new();
        for transfer in self.transfers.values().filter(|it| it.remaining > 0.0) {
            *sending.entry(transfer.from).or_default() += 1;
            *receiving.entry(transfer.to).or_default() += 1;
        }
        let (store, instance) = (self.store, self.instance);
        let ms = f64::from(u32::try_from(ms).expect("a short time"));
        let capacity = |host| if host == Host::Store { store } else { instance };
        for transfer in self.transfers.values_mut().filter(|it| it.remaining > 0.0) {
            if !active(transfer.from) || !active(transfer.to) {
                continue;
            }
            let out = capacity(transfer.from) / f64::from(sending[&transfer.from]);
            let into = capacity(transfer.to) / f64::from(receiving[&transfer.to]);
            transfer.remaining -= out.min(into) * ms;
        }
    }
}
