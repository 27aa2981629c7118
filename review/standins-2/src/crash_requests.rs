//! Requests that crash each server that runs them come again after all machines have been restarted:
//! at once, as after a kill, or one after the other, as in planned work.

use std::collections::BTreeMap;
use std::io::Result;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client;
use crate::client::HOST;
use crate::client::KEY;
use crate::client::Request;
use crate::gateway::Gateway;
use crate::random::Random;
use crate::record::Record;
use crate::server::Plan;
use crate::server::Run;
use crate::server::Server;
use crate::store::Store;

const MACHINES: u8 = 7;
const SERVERS: u64 = 12;

/// The usual requests a second, and how many of them are `unsafe`.
const REQUESTS_PER_SECOND: u64 = 100;
const UNSAFE_SHARE: (u64, u64) = (2, 3);

/// How long a server works on a usual request, and how long its requester waits.
const WORK: Duration = Duration::from_millis(30);
const DEADLINE: Duration = Duration::from_millis(1_500);

/// How long after the arrival of a request a server crashes under it.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// How long a server is down after a crash.
const DOWN: Duration = Duration::from_secs(2);

/// The rule: the number of crashes, the time after the last of them, and the retries after that.
const KNOWN_CRASHES: usize = 3;
const STABLE: Duration = Duration::from_secs(3);
const MAX_RETRIES: usize = 3;

/// The paths of requests that crash servers begin with this.
const CRASH_PATH: &str = "/safe/crash-";

/// How the machines are restarted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Restart {
    /// All are killed at the same moment and start again after a second.
    KillAll,
    /// One after the other gets a SIGTERM, and starts again when it has ended.
    Roll,
}

impl Restart {
    // Returns how many different requests crash servers.
    fn request_count(self) -> u32 {
        match self {
            Self::KillAll => 1,
            Self::Roll => 11,
        }
    }
}

struct Setup {
    record: Record,
    fronts: Vec<SocketAddr>,
    stop: AtomicBool,
    last_id: AtomicU64,
    // The status of the answer to each `unsafe` request; 0 without a whole answer.
    unsafe_answers: Mutex<BTreeMap<String, u16>>,
}

/// Plays a case and returns whether the rule held.
pub fn play(folder: &Path, restart: Restart, trouble: bool) -> Result<bool> {
    let record = Record::create(&folder.join("record.txt"))?;
    let temporary = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&temporary)?;
    let result = play_in(&temporary, &record, restart, trouble);
    record.flush();
    if std::env::var_os("KEEP_LOGS").is_none() {
        std::fs::remove_dir_all(&temporary)?;
    }
    result
}

fn play_in(temporary: &Path, record: &Record, restart: Restart, trouble: bool) -> Result<bool> {
    let store = Store::start()?;
    store.put("op/config", &configuration());
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let plan = Plan {
            name: format!("i-{number}"),
            service: "booking-desk".to_owned(),
            zone: format!("zone-{}", number % 3),
            slots: 6,
            work: WORK,
            crash_delay: CRASH_DELAY,
            dark: false,
            down: DOWN,
            crash_texts: vec![CRASH_PATH.to_owned()],
        };
        servers.push(Server::start(plan, &store, record)?);
    }
    let mut machines = Vec::new();
    for number in 0..MACHINES {
        machines.push(Gateway::start(number, store.address, temporary)?);
    }
    for machine in &machines {
        machine.wait_until_ready()?;
    }
    let setup = Setup {
        record: record.clone(),
        fronts: machines.iter().map(|it| it.front).collect(),
        stop: AtomicBool::new(false),
        last_id: AtomicU64::new(0),
        unsafe_answers: Mutex::default(),
    };
    let in_touch = thread::scope(|scope| {
        for _ in 0..REQUESTS_PER_SECOND {
            scope.spawn(|| setup.send_usual());
        }
        let in_touch = setup.play(restart, trouble, &mut machines);
        setup.stop.store(true, Ordering::Relaxed);
        in_touch
    })?;
    for machine in &mut machines {
        if !machine.runs() {
            record.print(&format!(
                "the process of {} has ended by itself",
                machine.front
            ));
        }
    }
    Ok(setup.judge(&servers, in_touch))
}

impl Setup {
    // Sends the requests that crash servers before and after the restart. Returns since when all
    // machines are in touch then.
    fn play(&self, restart: Restart, trouble: bool, machines: &mut [Gateway]) -> Result<Instant> {
        thread::sleep(STABLE + Duration::from_secs(1));
        for number in 0..restart.request_count() {
            self.send_crashing(number);
            thread::sleep(DOWN + Duration::from_millis(500));
        }
        thread::sleep(STABLE);
        if trouble {
            match restart {
                Restart::KillAll => self.kill_all(machines)?,
                Restart::Roll => self.roll(machines)?,
            }
        }
        for machine in machines.iter() {
            machine.wait_until_ready()?;
        }
        thread::sleep(STABLE + Duration::from_millis(500));
        let in_touch = Instant::now();
        self.record.add("all machines are in touch");
        for number in 0..restart.request_count() {
            self.send_crashing(number);
            thread::sleep(DOWN + Duration::from_millis(500));
        }
        Ok(in_touch)
    }

    fn kill_all(&self, machines: &mut [Gateway]) -> Result<()> {
        self.record.add("all machines are killed");
        for machine in machines.iter_mut() {
            machine.kill();
        }
        thread::sleep(Duration::from_secs(1));
        for machine in machines.iter_mut() {
            machine.restart()?;
        }
        self.record.add("all machines are started");
        Ok(())
    }

    fn roll(&self, machines: &mut [Gateway]) -> Result<()> {
        for machine in machines {
            self.record.add(&format!("{} gets SIGTERM", machine.front));
            machine.terminate()?;
            machine.restart()?;
            self.record.add(&format!("{} is started", machine.front));
            machine.wait_until_ready()?;
        }
        Ok(())
    }

    // Sends usual requests, one a second.
    fn send_usual(&self) {
        let mut random = Random::default();
        thread::sleep(Duration::from_millis(random.below(1_000)));
        while !self.stop.load(Ordering::Relaxed) {
            let sent = Instant::now();
            let front = self.fronts[random.index(self.fronts.len())];
            let id = self.next_id("u");
            if random.below(UNSAFE_SHARE.1) < UNSAFE_SHARE.0 {
                let answer =
                    client::send(front, request("POST", "/unsafe/1", &id, "book"), DEADLINE);
                let status = answer.map_or(0, |it| it.status());
                self.record
                    .add(&format!("unsafe {id} to {front} answered {status}"));
                let mut answers = self.unsafe_answers.lock().expect("no thread panics");
                answers.insert(id, status);
            } else {
                let answer = client::send(front, request("GET", "/safe/1", &id, ""), DEADLINE);
                let status = answer.map_or(0, |it| it.status());
                self.record
                    .add(&format!("safe {id} to {front} answered {status}"));
            }
            thread::sleep(Duration::from_secs(1).saturating_sub(sent.elapsed()));
        }
    }

    // Sends a request that crashes servers at a random machine. Its requester retries it once, at
    // another machine, unless it was refused.
    fn send_crashing(&self, number: u32) {
        let first = Random::default().index(self.fronts.len());
        for step in 0..2 {
            let front = self.fronts[(first + step) % self.fronts.len()];
            let id = self.next_id("crash");
            let path = format!("{CRASH_PATH}{number}");
            let answer = client::send(front, request("GET", &path, &id, ""), DEADLINE);
            let status = answer.as_ref().map_or(0, |it| it.status());
            self.record
                .add(&format!("{id} {path} to {front} answered {status}"));
            if matches!(status, 200 | 429 | 503) {
                return;
            }
        }
    }

    fn next_id(&self, prefix: &str) -> String {
        let number = self.last_id.fetch_add(1, Ordering::Relaxed);
        format!("{prefix}{number:08x}")
    }

    // Returns whether each of the requests that crash servers reached them in no more retries than
    // the rule allows.
    fn judge(&self, servers: &[Server], in_touch: Instant) -> bool {
        let mut runs: Vec<Run> = servers.iter().flat_map(Server::runs).collect();
        runs.sort_by_key(|it| it.at);
        let answers = self.unsafe_answers.lock().expect("no thread panics");
        let is_lost = |run: &&Run| matches!(answers.get(&run.id), Some(0 | 502 | 504));
        let late_lost = runs.iter().filter(|it| it.at >= in_touch).filter(is_lost);
        self.record.print(&format!(
            "unsafe requests that ran and got no answer of their server while all machines were \
             in touch: {}",
            late_lost.count()
        ));
        let mut by_path: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
        for run in runs.iter().filter(|it| it.crashed) {
            by_path.entry(&run.path).or_default().push(run.at);
        }
        let mut held = true;
        for (path, times) in by_path {
            let third = times.get(KNOWN_CRASHES - 1).copied();
            let late = times
                .iter()
                .filter(|at| third.is_some_and(|third| **at > third + STABLE) && **at >= in_touch);
            let late = late.count();
            held &= late <= MAX_RETRIES;
            let seconds = times.iter().map(|at| at.duration_since(self.record.start));
            let seconds: Vec<String> = seconds
                .map(|it| format!("{:.2}", it.as_secs_f64()))
                .collect();
            self.record.print(&format!(
                "{path} reached servers at {} s: {late} retries later than 3 s after the third \
                 crash, by machines in touch; {MAX_RETRIES} are allowed",
                seconds.join(", ")
            ));
        }
        held
    }
}

fn request<'a>(method: &'a str, path: &'a str, id: &'a str, body: &'a str) -> Request<'a> {
    Request {
        method,
        path,
        id,
        headers: "",
        body,
    }
}

fn configuration() -> String {
    let route = |name: &str| {
        format!(
            r#"{{"Name":"r-{name}","Host":"{HOST}","Prefix":"/{name}/","Kind":"{name}","TimeoutMs":1500,"TargetLatencyMs":150,"Priority":2,"Service":"booking-desk","MaxAttempts":2,"AuthExempt":false,"SessionAffinity":false,"Resumable":false}}"#
        )
    };
    format!(
        r#"{{"Version":3,"Routes":[{},{}],"Services":[{{"Name":"booking-desk","HealthPath":"/healthz","MaxConns":110}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"hule930","ApiKeys":["{KEY}"],"RatePerS":0,"Burst":0}}]}}"#,
        route("unsafe"),
        route("safe"),
    )
}
