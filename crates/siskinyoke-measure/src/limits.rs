//! What capacity leases cost holders and allocators.

use crate::Network;
use crate::cost;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Incarnation;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_base::message::Envelope;
use siskinyoke_base::message::LeaseDemand;
use siskinyoke_base::message::LeaseGrant;
use siskinyoke_base::message::LeaseReport;
use siskinyoke_base::message::Message;
use siskinyoke_base::message::Resource;
use siskinyoke_control::Sender;
use siskinyoke_control::leases::LeaseAllocator;
use siskinyoke_control::leases::LeaseHolder;
use siskinyoke_control::leases::LeaseView;
use siskinyoke_control::leases::ROUND;

/// Copies of an allocator that are weighed.
const COPIES: usize = 50;

/// Tiers in a report, and the wish for spare room.
const WANTED: [u32; 4] = [3, 2, 1, 200];

/// Slots of an endpoint.
const SLOTS: u32 = 200;

#[derive(Debug)]
struct View {
    holders: usize,
}

impl LeaseView for View {
    fn allocator(&self, _resource: &Resource) -> Option<InstanceId> {
        Some(Network::name(0))
    }

    fn live(&self) -> usize {
        self.holders
    }

    fn units(&self, _resource: &Resource) -> Option<u32> {
        Some(SLOTS)
    }

    fn demand(&self, _now: Millis) -> Vec<LeaseDemand> {
        Vec::new()
    }
}

/// Prints the holder's costs by resources with demand, then the allocator's by holders.
pub fn run(resources: &[usize], holders: &[usize]) {
    println!("| resources | allocators | messages/round | bytes/round out | µs/round |");
    println!("|---|---|---|---|---|");
    for count in resources {
        for allocators in [1, 8, 370] {
            holder(*count, allocators);
        }
    }
    println!("\n| holders | resources | µs/report | bytes/grant | bytes/holder and resource |");
    println!("|---|---|---|---|---|");
    for count in holders {
        allocator(*count, 2);
    }
}

fn holder(resources: usize, allocators: usize) {
    let mut holder = LeaseHolder::default();
    let choose = |resource: &Resource| Some(Network::name(place(resource) % allocators));
    let mut now = Millis::from_secs(10);
    let reports = holder.report(now, lines(resources), choose);
    let messages = reports.len();
    let reports = reports.into_iter().map(|(_, report)| report);
    let bytes: usize = reports
        .map(|report| encoded(Message::LeaseReport(report)))
        .sum();
    let micros = cost::micros_each(|| {
        now += ROUND;
        std::hint::black_box(holder.report(now, lines(resources), choose));
    });
    println!("| {resources} | {allocators} | {messages} | {bytes} | {micros:.0} |");
}

fn allocator(holders: usize, resources: usize) {
    let view = View { holders };
    let own = Network::name(0);
    let memory = cost::resident();
    let mut allocators: Vec<LeaseAllocator> = Vec::new();
    allocators.resize_with(COPIES, LeaseAllocator::default);
    let mut now = Millis::from_secs(10);
    let mut grant = LeaseGrant::default();
    for allocator in &mut allocators {
        for number in 0..holders {
            grant = allocator.report(now, &sender(number), &report(1, resources), &own, &view);
        }
    }
    let held = cost::resident().saturating_sub(memory) / (holders * resources * COPIES) as u64;
    let allocator = &mut allocators[0];
    let mut reports = 0_u64;
    let micros = cost::micros_each(|| {
        reports += 1;
        let number = usize::try_from(reports).unwrap_or(0) % holders;
        // Reports are spread over the round.
        now = Millis(10_000 + ROUND.0 * reports / holders as u64);
        let report = report(1 + reports, resources);
        let grant = allocator.report(now, &sender(number), &report, &own, &view);
        std::hint::black_box(grant);
    });
    let bytes = encoded(Message::LeaseGrant(grant));
    println!("| {holders} | {resources} | {micros:.1} | {bytes} | {held} |");
}

fn report(round: u64, resources: usize) -> LeaseReport {
    LeaseReport {
        round,
        lines: lines(resources),
    }
}

fn sender(number: usize) -> Sender {
    Sender {
        instance: Network::name(number),
        incarnation: Incarnation(number as u64),
    }
}

fn lines(count: usize) -> Vec<LeaseDemand> {
    let line = |number: usize| LeaseDemand {
        resource: Resource::Endpoint(EndpointId::new(&format!("server-{number:03}"))),
        wanted: WANTED.to_vec(),
        held: 2,
    };
    (0..count).map(line).collect()
}

fn place(resource: &Resource) -> usize {
    let Resource::Endpoint(id) = resource else {
        return 0;
    };
    let number = id.as_str().rsplit('-').next();
    let number: usize = number.and_then(|text| text.parse().ok()).unwrap_or(0);
    number * 7919
}

fn encoded(message: Message) -> usize {
    let envelope = Envelope {
        from: Network::name(0),
        incarnation: Incarnation(u64::MAX / 3),
        revision: 100_000,
        message,
    };
    postcard::to_stdvec(&envelope).map_or(0, |bytes| bytes.len())
}
