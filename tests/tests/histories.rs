//! Random histories over cores in virtual time, judged by the history checker.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use siskinyoke_base::Millis;
use siskinyoke_control::CallId;
use siskinyoke_control::core::Event;
use siskinyoke_policy::Adaptive;
use siskinyoke_policy::Simple;
use siskinyoke_tests::World;
use siskinyoke_tests::configuration;
use siskinyoke_tests::configuration::KINDS;
use siskinyoke_tests::script::Order;
use siskinyoke_tests::script::send;
use siskinyoke_tests::script::ticket;
use siskinyoke_tests::world::MakeScheduler;

/// Fixed seeds, so that CI gives the same verdict every time.
const SEEDS: u64 = 300;

/// Steps of one history.
const STEPS: u32 = 120;

/// Any of these may come at any moment, together or twice: instances die, freeze, leave and come
/// back, the network between them is cut and loses messages, endpoints go down, freeze and break
/// streams, the platform is down or loses answers, callers send again, here and elsewhere.
#[test]
fn random_histories_keep_every_promise() {
    let failed = judge(seeds(), play);
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

/// The same seed gives the same history to the last part of every answer.
#[test]
fn a_seed_gives_one_history() {
    assert_eq!(digest(7), digest(7));
}

/// Threads that play histories; each history is played by one of them from its seed alone.
const THREADS: u64 = 4;

/// Returns the fixed seeds, or those that `SEEDS=from..to` names.
fn seeds() -> std::ops::Range<u64> {
    let text = std::env::var("SEEDS").unwrap_or_default();
    let bounds = text.split_once("..");
    let parsed = bounds.and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    parsed.unwrap_or(0..SEEDS)
}

/// Plays each seed and returns a line for each that broke a promise, in the order of seeds.
fn judge(seeds: std::ops::Range<u64>, play: fn(u64) -> Vec<String>) -> Vec<String> {
    let share = |thread: u64| {
        let mine = seeds.clone().filter(move |seed| seed % THREADS == thread);
        let failed = mine.map(|seed| (seed, play(seed)));
        failed
            .filter(|(_, breaches)| !breaches.is_empty())
            .collect::<Vec<_>>()
    };
    let mut failed = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|thread| scope.spawn(move || share(thread)))
            .collect();
        let shares = threads
            .into_iter()
            .map(|thread| thread.join().expect("a history panicked"));
        shares.flatten().collect::<Vec<_>>()
    });
    failed.sort();
    let line =
        |(seed, breaches): (u64, Vec<String>)| format!("seed {seed}: {}", breaches.join("; "));
    failed.into_iter().map(line).collect()
}

struct Play {
    world: World,
    rng: ChaCha8Rng,
    tickets: Vec<String>,
    orders: Vec<Order>,
}

fn play(seed: u64) -> Vec<String> {
    let mut play = run(seed);
    play.world.history.finish(&play.world.endpoints);
    play.world.history.breaches
}

fn digest(seed: u64) -> String {
    format!("{:?}", run(seed).world.history.calls)
}

fn run(seed: u64) -> Play {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let size = rng.random_range(1..=4);
    let slots = rng.random_range(1..=3);
    let make: MakeScheduler = if seed.is_multiple_of(2) {
        |seed| Box::new(Adaptive::new(seed, 1))
    } else {
        |_| Box::new(Simple::default())
    };
    let world = World::new(size, seed, configuration::view(slots), make);
    let mut play = Play {
        world,
        rng,
        tickets: Vec::new(),
        orders: Vec::new(),
    };
    for _ in 0..STEPS {
        play.step();
        let span = play.rng.random_range(1..400);
        play.world.run(Millis(span));
    }
    play.mend();
    play.world.run(Millis::from_secs(120));
    play
}

impl Play {
    fn step(&mut self) {
        let at = self.rng.random_range(0..self.world.size());
        match self.rng.random_range(0..100) {
            0..45 => self.send_new(at),
            45..65 => self.send_again(at),
            65..70 => self.locate(at),
            70..73 => self.stop(at),
            73..77 => self.start(at),
            77..80 => self.world.freeze(at),
            80..85 => self.wake(at),
            85..88 => self.cut(at),
            88..96 => self.disturb_endpoint(),
            96..98 => self.disturb_platform(),
            _ => self.world.loss = self.rng.random_range(0..3) * 10,
        }
    }

    fn send_new(&mut self, at: usize) {
        let number = self.orders.len() as u64 + 1;
        let kind = KINDS[self.rng.random_range(0..KINDS.len())];
        let keyed = self.rng.random_bool(0.8);
        let pick = self.rng.random_range(0..=self.tickets.len());
        let order = Order {
            call: CallId(number),
            at,
            kind,
            key: keyed.then(|| format!("key-{number}")),
            ticket: self.tickets.get(pick).cloned(),
            retry: Some(0),
            body: format!("body-{number}"),
            stream: self.rng.random_bool(0.5),
        };
        self.orders.push(order.clone());
        send(&mut self.world, order);
    }

    /// Sends an earlier request again, as a caller does that got no answer.
    fn send_again(&mut self, at: usize) {
        let keyed: Vec<Order> = self
            .orders
            .iter()
            .filter(|order| order.key.is_some())
            .cloned()
            .collect();
        if keyed.is_empty() {
            return;
        }
        let old = keyed[self.rng.random_range(0..keyed.len())].clone();
        let call = CallId(self.orders.len() as u64 + 1);
        let order = Order {
            call,
            at,
            retry: old.retry.map(|count| count + 1),
            ..old
        };
        self.orders.push(order.clone());
        send(&mut self.world, order);
    }

    fn locate(&mut self, at: usize) {
        if self.world.is_awake(at) {
            let ticket = ticket(&mut self.world, at);
            self.tickets.push(ticket);
        }
    }

    fn stop(&mut self, at: usize) {
        if self.rng.random_bool(0.5) {
            self.world.kill(at);
        } else {
            self.world.schedule(at, Millis::ZERO, Event::Leave);
        }
    }

    fn start(&mut self, at: usize) {
        if !self.world.is_running(at) {
            self.world.restart(at);
        }
    }

    fn wake(&mut self, at: usize) {
        if self.world.is_running(at) {
            self.world.wake(at);
        }
    }

    fn cut(&mut self, at: usize) {
        let other = self.rng.random_range(0..self.world.size());
        if self.rng.random_bool(0.5) {
            self.world.cuts.clear();
        } else {
            self.world.cuts.insert((at.min(other), at.max(other)));
        }
    }

    fn disturb_endpoint(&mut self) {
        let pick = self.rng.random_range(0..self.world.endpoints.len());
        let change = self.rng.random_range(0..5);
        let limit = self.rng.random_range(0..3);
        let Some(endpoint) = self.world.endpoints.values_mut().nth(pick) else {
            return;
        };
        match change {
            0 => endpoint.down = !endpoint.down,
            1 => endpoint.frozen = !endpoint.frozen,
            2 => endpoint.break_after = Some(limit),
            3 => endpoint.first = Millis(if endpoint.first.0 > 100 { 50 } else { 900 }),
            _ => endpoint.break_after = None,
        }
    }

    fn disturb_platform(&mut self) {
        let platform = &mut self.world.platform;
        if self.rng.random_bool(0.5) {
            platform.down = !platform.down;
        } else {
            platform.lose += 2;
        }
    }

    /// Heals everything, so that what was accepted can come to its end.
    fn mend(&mut self) {
        self.world.cuts.clear();
        self.world.loss = 0;
        self.world.platform.down = false;
        self.world.platform.lose = 0;
        for endpoint in self.world.endpoints.values_mut() {
            endpoint.down = false;
            endpoint.frozen = false;
            endpoint.break_after = None;
        }
        for at in 0..self.world.size() {
            self.wake(at);
        }
    }
}
