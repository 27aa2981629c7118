//! Contents that crash endpoints, and innocent ones that were there.

use siskinyoke_base::CallClass;
use siskinyoke_base::EndpointId;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_policy::quarantine::Digest;
use siskinyoke_policy::quarantine::InFlight;
use siskinyoke_policy::quarantine::MAX_ENTRIES;
use siskinyoke_policy::quarantine::Quarantine;
use siskinyoke_policy::quarantine::Verdict;

const POISON: Digest = [255; 32];

fn digest(n: u8) -> Digest {
    [n; 32]
}

fn at(secs: u64) -> Millis {
    Millis::from_secs(secs)
}

fn endpoint(n: usize) -> EndpointId {
    EndpointId::new(&format!("engine-{n}"))
}

fn once(digest: Digest) -> InFlight {
    let class = CallClass::AtMostOnce;
    InFlight { digest, class }
}

fn request(digest: Digest) -> InFlight {
    let class = CallClass::Idempotent;
    InFlight { digest, class }
}

fn name(instance: usize) -> InstanceId {
    InstanceId::new(&format!("entry-{instance}"))
}

fn start(instance: usize) -> Quarantine {
    Quarantine::new(name(instance))
}

/// Announces a run apart and begins it as soon as it may begin.
fn begin(quarantine: &mut Quarantine, now: Millis, content: Digest, place: usize) -> bool {
    let place = endpoint(place);
    quarantine.begin(now, &content, &place) || quarantine.begin(now + Millis(100), &content, &place)
}

/// Instances that share a pool, and a network between them that may lose news.
struct Fleet {
    now: Millis,
    instances: Vec<Quarantine>,
    alive: Vec<bool>,
    answered: usize,
}

impl Fleet {
    fn new(instances: usize, endpoints: usize) -> Self {
        Self {
            now: at(1),
            instances: (0..instances).map(start).collect(),
            alive: vec![true; endpoints],
            answered: 0,
        }
    }

    fn deaths(&self) -> usize {
        self.alive.iter().filter(|alive| !**alive).count()
    }

    /// Sends what is due from each instance to all others, but the first `lost` rounds.
    fn gossip(&mut self, lost: usize) {
        for round in 0..3 {
            for from in 0..self.instances.len() {
                let news = self.instances[from].news(self.now);
                for to in (0..self.instances.len()).filter(|to| *to != from && round >= lost) {
                    self.instances[to].heard(self.now, &name(from), &news);
                }
            }
            self.now += at(2);
        }
    }

    /// Runs contents on an endpoint; the poison kills it, and the others are answered if not.
    fn run(&mut self, instance: usize, place: usize, contents: &[Digest]) -> Vec<Digest> {
        let quarantine = &mut self.instances[instance];
        self.now += Millis(10);
        if !contents.contains(&POISON) {
            for content in contents {
                quarantine.completed(self.now, content);
                self.answered += 1;
            }
            return Vec::new();
        }
        self.alive[place] = false;
        for content in contents {
            quarantine.broke(self.now, &endpoint(place), request(*content));
        }
        quarantine.refused(self.now, &endpoint(place))
    }

    /// Runs a suspect apart wherever it may, if it may.
    fn apart(&mut self, instance: usize, content: Digest) -> Vec<Digest> {
        let quarantine = &mut self.instances[instance];
        let fits =
            |place: &usize| self.alive[*place] && begin(quarantine, self.now, content, *place);
        let place = (0..self.alive.len()).find(fits);
        place.map_or_else(Vec::new, |place| self.run(instance, place, &[content]))
    }
}

/// A content crashes the engine that runs it, with thirty others on it. Its caller sends it again
/// under new identities, through each instance in turn. Without the quarantine the pool is down
/// after as many sendings as it has engines.
#[test]
fn a_poisoned_content_takes_down_two_endpoints() {
    for lost in 0..3 {
        let mut fleet = Fleet::new(8, 12);
        let mut contents: Vec<Digest> = (0..30).map(digest).collect();
        contents.push(POISON);
        let again = fleet.run(0, 0, &contents);
        assert_eq!(again.len(), 31);
        fleet.gossip(lost);
        for content in again {
            fleet.apart(0, content);
        }
        fleet.gossip(lost);
        for sending in 0..40 {
            let instance = sending % 8;
            match fleet.instances[instance].verdict(fleet.now, &POISON) {
                Verdict::Refused { .. } | Verdict::Wait { .. } => {}
                Verdict::Apart => drop(fleet.apart(instance, POISON)),
                Verdict::Free => drop(fleet.run(instance, sending % 12, &[POISON])),
            }
            fleet.gossip(lost);
        }
        assert_eq!(fleet.deaths(), 2, "with {lost} of 3 tellings lost");
        assert_eq!(fleet.answered, 30);
        for quarantine in &fleet.instances {
            assert_eq!(quarantine.verdict(fleet.now, &digest(3)), Verdict::Free);
        }
    }
}

/// Two machines are lost in a minute. A question that many ask was on both: it is resent and
/// answered, and still refused afterwards, as two breaks were taken for two crashes.
#[test]
fn a_lost_machine_makes_nothing_suspect() {
    let mut quarantine = start(0);
    for place in 0..2 {
        let now = at(10 + 30 * place as u64);
        quarantine.broke(now, &endpoint(place), request(digest(1)));
        assert_eq!(quarantine.verdict(now, &digest(1)), Verdict::Apart);
        // Nothing refuses the connection: the tries run out of time.
        assert_eq!(quarantine.probes(now + at(1)), [endpoint(place)]);
        assert!(quarantine.refused(now + at(4), &endpoint(place)).is_empty());
    }
    assert_eq!(quarantine.verdict(at(50), &digest(1)), Verdict::Free);
}

/// A switch resets one connection of an engine that goes on. Its request is held suspect and
/// waits for an engine of its own, although nothing died.
#[test]
fn a_cut_connection_is_not_a_death() {
    let mut quarantine = start(0);
    quarantine.broke(at(1), &endpoint(0), request(digest(1)));
    assert!(quarantine.reached(at(1), &endpoint(0)).is_empty());
    assert_eq!(quarantine.verdict(at(1), &digest(1)), Verdict::Free);
    // All at once on the same engine: it died and was back before the try to connect.
    quarantine.broke(at(2), &endpoint(0), request(digest(1)));
    quarantine.broke(at(2), &endpoint(0), request(digest(2)));
    assert_eq!(quarantine.reached(at(2), &endpoint(0)).len(), 2);
    assert_eq!(quarantine.verdict(at(2), &digest(1)), Verdict::Apart);
}

/// Two instances have the same roster lookup on an engine that dies. Each tells the other of the
/// death, which is then counted twice, and a lookup that crashed nothing is refused everywhere.
#[test]
fn one_death_told_twice_convicts_nobody() {
    let mut fleet = Fleet::new(2, 3);
    for quarantine in &mut fleet.instances {
        quarantine.endpoint_died(fleet.now, &endpoint(0), &[request(digest(1))]);
    }
    fleet.gossip(0);
    for quarantine in &fleet.instances {
        assert_eq!(quarantine.verdict(fleet.now, &digest(1)), Verdict::Apart);
    }
    // It runs to its end on the first; the death is told to the second again, and late.
    let late = fleet.instances[1].snapshot(fleet.now);
    fleet.apart(0, digest(1));
    fleet.gossip(0);
    let age = fleet.now.since(at(7));
    let mut old = late[0].clone();
    old.deaths[0].1 += age;
    fleet.instances[1].heard(fleet.now, &name(0), &[old]);
    assert_eq!(
        fleet.instances[1].verdict(fleet.now, &digest(1)),
        Verdict::Free
    );
}

/// Two suspects of one crash are run again on the same engine, which dies once more. Both are
/// convicted, and the innocent one's caller is refused for half an hour.
#[test]
fn two_suspects_never_share_an_endpoint() {
    let mut quarantine = start(0);
    let both = [request(POISON), request(digest(1))];
    quarantine.endpoint_died(at(1), &endpoint(0), &both);
    assert!(begin(&mut quarantine, at(1), POISON, 1));
    assert!(!begin(&mut quarantine, at(1), digest(1), 1));
    assert!(begin(&mut quarantine, at(1), digest(1), 2));
    // An end that nobody tells of does not keep the endpoint for ever.
    let mut untold = start(0);
    untold.endpoint_died(at(1), &endpoint(0), &both);
    assert!(begin(&mut untold, at(1), POISON, 1));
    assert!(!begin(&mut untold, at(30), digest(1), 1));
    assert!(begin(&mut untold, at(31), digest(1), 1));
    // A copy of the suspect waits for the first one's end, here and at peers.
    let mut peer = start(0);
    peer.heard(at(1), &name(1), &quarantine.news(at(1)));
    assert!(matches!(peer.verdict(at(1), &POISON), Verdict::Wait { .. }));
    assert!(!begin(&mut quarantine, at(1), POISON, 3));
    quarantine.broke(at(2), &endpoint(1), request(POISON));
    let unsettled = quarantine.verdict(at(2), &POISON);
    assert!(matches!(unsettled, Verdict::Wait { .. }));
    quarantine.refused(at(2), &endpoint(1));
    quarantine.completed(at(2), &digest(1));
    let refused = quarantine.verdict(at(2), &POISON);
    assert!(matches!(refused, Verdict::Refused { .. }));
    assert_eq!(quarantine.verdict(at(2), &digest(1)), Verdict::Free);
}

/// Two instances choose the same engine for two suspects at the same moment, or run two copies of
/// one. The engine dies, and the innocent one is convicted; or two engines die at once.
#[test]
fn announcements_keep_instances_apart() {
    for (contents, places) in [([POISON, digest(1)], [1, 1]), ([POISON, POISON], [1, 2])] {
        let mut fleet = Fleet::new(2, 4);
        let [now, then] = [at(1), at(1) + Millis(100)];
        let begun = |fleet: &mut Fleet, at: usize, now: Millis| {
            fleet.instances[at].begin(now, &contents[at], &endpoint(places[at]))
        };
        for (number, content) in contents.into_iter().enumerate() {
            fleet.instances[number].endpoint_died(now, &endpoint(0), &[request(content)]);
            assert!(!begun(&mut fleet, number, now));
            assert!(!begun(&mut fleet, number, now + Millis(50)), "too soon");
        }
        // Their announcements cross on the way.
        let news = [0, 1].map(|from: usize| fleet.instances[from].news(now));
        fleet.instances[1].heard(now, &name(0), &news[0]);
        fleet.instances[0].heard(now, &name(1), &news[1]);
        assert!(!begun(&mut fleet, 1, then), "the second gives way");
        assert!(begun(&mut fleet, 0, then));
        let elsewhere = begin(&mut fleet.instances[1], then, contents[1], 3);
        assert_eq!(elsewhere, contents[1] != POISON);
    }
    // An announcement from which nothing comes frees the engine, and the content.
    let mut quarantine = start(0);
    quarantine.endpoint_died(at(1), &endpoint(0), &[request(POISON)]);
    quarantine.endpoint_died(at(1), &endpoint(0), &[request(digest(1))]);
    assert!(!quarantine.begin(at(1), &POISON, &endpoint(1)));
    quarantine.tick(at(3));
    assert!(begin(&mut quarantine, at(3), digest(1), 1));
}

/// A booking that may run once was on an engine that died. Run again by the system it could book
/// a room twice; it is only remembered, for its caller's own resend.
#[test]
fn at_most_once_work_is_never_run_again() {
    let mut quarantine = start(0);
    let requests = [once(digest(1)), request(digest(2))];
    let again = quarantine.endpoint_died(at(1), &endpoint(0), &requests);
    assert_eq!(again, [digest(2)]);
    assert_eq!(quarantine.verdict(at(1), &digest(1)), Verdict::Apart);
    assert_eq!(quarantine.avoid(&digest(1)), [endpoint(0)]);
}

/// An instance is replaced a quarter of an hour after a conviction. It knows nothing and runs the
/// content at once; after the refusal has passed, the content takes down two more endpoints.
#[test]
fn a_conviction_outlives_instances_and_ends_in_suspicion() {
    let mut quarantine = start(0);
    quarantine.endpoint_died(at(1), &endpoint(0), &[request(POISON)]);
    quarantine.endpoint_died(at(100), &endpoint(1), &[request(POISON)]);
    let mut fresh = start(0);
    fresh.heard(at(1_000), &name(1), &quarantine.snapshot(at(1_000)));
    let after = at(900);
    assert_eq!(
        fresh.verdict(at(1_000), &POISON),
        Verdict::Refused { after }
    );
    assert_eq!(fresh.verdict(at(1_900), &POISON), Verdict::Apart);
    fresh.endpoint_died(at(1_901), &endpoint(2), &[request(POISON)]);
    let refused = fresh.verdict(at(1_902), &POISON);
    assert!(matches!(refused, Verdict::Refused { .. }));
    fresh.tick(at(9_000));
    while !fresh.news(at(9_000)).is_empty() {}
    assert_eq!(fresh.verdict(at(9_000), &POISON), Verdict::Free);
}

/// Endpoints crash all day for reasons of their own. Each crash adds a batch of suspects, until
/// the instance's memory is full of them or the convicted ones are pushed out.
#[test]
fn memory_is_bounded_and_keeps_convictions() {
    let mut quarantine = start(0);
    quarantine.endpoint_died(at(1), &endpoint(0), &[request(POISON)]);
    quarantine.endpoint_died(at(2), &endpoint(1), &[request(POISON)]);
    for n in 0..2 * MAX_ENTRIES as u64 {
        let mut content = digest(0);
        content[..8].copy_from_slice(&n.to_le_bytes());
        quarantine.endpoint_died(at(3), &endpoint(2), &[request(content)]);
    }
    assert!(quarantine.len() <= MAX_ENTRIES);
    let refused = quarantine.verdict(at(4), &POISON);
    assert!(matches!(refused, Verdict::Refused { .. }));
    for round in 1..8 {
        quarantine.news(at(10 * round));
    }
    quarantine.tick(at(3_000));
    assert!(quarantine.is_empty());
}
