//! A request makes each server that runs it crash without a word: its channels stay open and silent.
//! The request comes again.

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

/// The usual requests a second.
const REQUESTS_PER_SECOND: u64 = 60;

/// How long a server takes to the first event, and how long a requester waits.
const WORK: Duration = Duration::from_millis(20);
const DEADLINE: Duration = Duration::from_secs(5);

/// How long after the arrival of a request a server crashes under it.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// How long a server is down after a crash.
const DOWN: Duration = Duration::from_secs(2);

/// The body of the request that crashes servers, how often it comes again, and for how long.
const CRASH_BODY: &str = "crash";
const RETURN_PAUSE: Duration = Duration::from_secs(1);
const RETURN_TIME: Duration = Duration::from_secs(45);

/// The rule: the number of crashes, the time after the last of them, and the retries after that.
const KNOWN_CRASHES: usize = 3;
const STABLE: Duration = Duration::from_secs(3);
const MAX_RETRIES: usize = 3;

struct Setup {
    record: Record,
    fronts: Vec<SocketAddr>,
    stop: AtomicBool,
    last_id: AtomicU64,
    // The status of the answer to each usual request; 0 without a whole answer.
    answers: Mutex<BTreeMap<u16, usize>>,
}

/// Plays the case and returns whether the rule held.
pub fn play(folder: &Path, trouble: bool) -> Result<bool> {
    let record = Record::create(&folder.join("record.txt"))?;
    let temporary = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&temporary)?;
    let result = play_in(&temporary, &record, trouble);
    record.flush();
    if std::env::var_os("KEEP_LOGS").is_none() {
        std::fs::remove_dir_all(&temporary)?;
    }
    result
}

fn play_in(temporary: &Path, record: &Record, trouble: bool) -> Result<bool> {
    let store = Store::start()?;
    store.put("op/config", &configuration());
    let crash_texts = if trouble { vec!["crash"] } else { Vec::new() };
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let plan = Plan {
            name: format!("i-{number}"),
            service: "siskin-pool".to_owned(),
            zone: format!("zone-{}", number % 3),
            slots: 7,
            work: WORK,
            crash_delay: CRASH_DELAY,
            dark: true,
            down: DOWN,
            crash_texts: crash_texts.iter().map(|it| (*it).to_owned()).collect(),
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
        answers: Mutex::default(),
    };
    thread::scope(|scope| {
        for _ in 0..REQUESTS_PER_SECOND {
            scope.spawn(|| setup.send_usual());
        }
        setup.play();
        setup.stop.store(true, Ordering::Relaxed);
    });
    for machine in &mut machines {
        if !machine.runs() {
            record.print(&format!(
                "the process of {} has ended by itself",
                machine.front
            ));
        }
    }
    Ok(setup.judge(&servers))
}

impl Setup {
    fn play(&self) {
        // All machines are in touch by then.
        thread::sleep(STABLE + Duration::from_secs(1));
        let mut random = Random::default();
        let end = Instant::now() + RETURN_TIME;
        while Instant::now() < end {
            let front = self.fronts[random.index(self.fronts.len())];
            self.send(front, "return", CRASH_BODY);
            thread::sleep(RETURN_PAUSE);
        }
    }

    // Sends usual requests about other matters, one a second.
    fn send_usual(&self) {
        let mut random = Random::default();
        thread::sleep(Duration::from_millis(random.below(1_000)));
        while !self.stop.load(Ordering::Relaxed) {
            let sent = Instant::now();
            let front = self.fronts[random.index(self.fronts.len())];
            let status = self.send(front, "usual", "usual");
            let mut answers = self.answers.lock().expect("no thread panics");
            *answers.entry(status).or_default() += 1;
            drop(answers);
            thread::sleep(Duration::from_secs(1).saturating_sub(sent.elapsed()));
        }
    }

    // Returns the status of the answer; 0 without a whole one.
    fn send(&self, front: SocketAddr, kind: &str, body: &str) -> u16 {
        let number = self.last_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("{number:016x}");
        let headers = "Siskinyoke-Model: m\r\nSiskinyoke-Token-Count: 2950,60\r\n";
        let request = Request {
            method: "POST",
            path: "/stream/2f",
            id: &id,
            headers,
            body,
        };
        let answer = client::send(front, request, DEADLINE);
        let status = answer.map_or(0, |it| it.status());
        self.record.add(&format!(
            "{kind} {id} ({body}) to {front} answered {status}"
        ));
        status
    }

    // Returns whether each of the requests that crash servers reached them in no more retries than
    // the rule allows.
    fn judge(&self, servers: &[Server]) -> bool {
        let answers = self.answers.lock().expect("no thread panics");
        self.record.print(&format!(
            "answers to usual requests, by status: {answers:?}"
        ));
        let mut runs: Vec<Run> = servers.iter().flat_map(Server::runs).collect();
        runs.sort_by_key(|it| it.at);
        let crashes = runs.iter().filter(|it| it.crashed);
        let times: Vec<Instant> = crashes.map(|it| it.at).collect();
        let third = times.get(KNOWN_CRASHES - 1).copied();
        let late = times
            .iter()
            .filter(|at| third.is_some_and(|third| **at > third + STABLE));
        let late = late.count();
        let seconds = times.iter().map(|at| at.duration_since(self.record.start));
        let seconds: Vec<String> = seconds
            .map(|it| format!("{:.2}", it.as_secs_f64()))
            .collect();
        self.record.print(&format!(
            "the request reached servers at {} s: {late} retries later than 3 s after the third \
             crash; {MAX_RETRIES} are allowed",
            seconds.join(", ")
        ));
        late <= MAX_RETRIES
    }
}

fn configuration() -> String {
    format!(
        r#"{{"Version":3,"Routes":[{{"Name":"r-stream","Host":"{HOST}","Prefix":"/stream/","Kind":"stream","TimeoutMs":5000,"TargetLatencyMs":500,"Priority":0,"Service":"siskin-pool","MaxAttempts":2,"AuthExempt":false,"SessionAffinity":true,"Resumable":true,"GapTargetMs":400}}],"Services":[{{"Name":"siskin-pool","HealthPath":"/healthz","MaxConns":370}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"hule930","ApiKeys":["{KEY}"],"RatePerS":0,"Burst":0}}]}}"#
    )
}
