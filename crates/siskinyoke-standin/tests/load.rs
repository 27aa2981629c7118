//! The load driver: planned requests and the verification of responses.

use std::sync::Arc;

use siskinyoke_standin::LOOPBACK_ANY_PORT;
use siskinyoke_standin::completion::Completion;
use siskinyoke_standin::engine::Engine;
use siskinyoke_standin::engine::EngineConfig;
use siskinyoke_standin::engine::control::Breaks;
use siskinyoke_standin::engine::control::EngineControl;
use siskinyoke_standin::http::Exchange;
use siskinyoke_standin::http::Handler;
use siskinyoke_standin::http::HttpServer;
use siskinyoke_standin::load;
use siskinyoke_standin::load::file::LoadFile;
use siskinyoke_standin::load::plan;
use siskinyoke_standin::load::report::ReportLine;

const LOAD_FILE: &str = r#"{
    // Short and long requests in one mix.
    "seed": 7,
    "patience": 10000,
    "callers": [
        { "name": "paragraph", "model": "small", "weight": 3,
          "prompt": [20, 60], "output": [2, 8], "stream": 0.5 },
        { "name": "composition", "model": "small",
          "prompt": [400, 900], "prefix": 200, "output": [10, 20] }
    ],
    "phases": [
        { "name": "quiet", "span": 200, "rate": 50 },
        { "name": "pause", "span": 50, "rate": 0 },
        { "name": "burst", "span": 100, "rate": 400, "callers": ["paragraph"] }
    ]
}"#;

fn load_to(address: &str) -> LoadFile {
    let mut load = LoadFile::parse(LOAD_FILE).expect("a valid load file");
    load.addresses = vec![address.to_owned()];
    load
}

fn sum(lines: &[ReportLine], count: impl Fn(&ReportLine) -> u64) -> u64 {
    lines.iter().map(count).sum()
}

#[test]
fn the_same_seed_gives_the_same_load() {
    let mut load = load_to("none");
    let requests = plan::plan(&load);
    assert_eq!(requests, plan::plan(&load));
    assert!(
        requests.iter().all(|request| request.phase != 1),
        "no request is due in the pause phase"
    );
    assert!(
        requests
            .iter()
            .all(|request| request.phase != 2 || request.caller == 0)
    );
    load.seed = 8;
    assert_ne!(requests, plan::plan(&load));
    load.max_requests = 5;
    assert_eq!(plan::plan(&load).len(), 5);
}

#[test]
fn an_inconsistent_load_file_is_rejected() {
    for (from, to, expected) in [
        ("[2, 8]", "[8, 2]", "caller paragraph: lengths"),
        ("\"rate\": 50", "\"rate\": -1", "phase quiet: rate"),
        (
            "[\"paragraph\"]",
            "[\"nobody\"]",
            "no caller is named nobody",
        ),
        ("\"seed\"", "\"sead\"", "unknown field `sead`"),
    ] {
        let err = LoadFile::parse(&LOAD_FILE.replace(from, to)).expect_err("an invalid load file");
        assert!(err.to_string().contains(expected), "{err}");
    }
}

#[test]
fn every_correct_response_is_counted_and_timed() {
    let engine = Engine::start(&fast_config()).expect("a free port");
    let load = load_to(&engine.address().to_string());
    let lines = load::run(&load).expect("a run");
    let sent = plan::plan(&load).len() as u64;
    assert_eq!(sum(&lines, |line| line.correct), sent, "{lines:?}");
    assert_eq!(engine.counts().dispatched, sent);
    let streamed = sum(&lines, |line| line.first_token.count);
    assert!(streamed > 0 && streamed < sent);
    assert_eq!(sum(&lines, |line| line.total.count), sent);
}

#[test]
fn a_broken_stream_counts_as_failed() {
    let engine = Engine::start(&fast_config()).expect("a free port");
    engine.control(&EngineControl {
        breaks: Some(Breaks {
            after: 2,
            requests: 3,
        }),
        ..EngineControl::default()
    });
    let load = load_to(&engine.address().to_string());
    let lines = load::run(&load).expect("a run");
    assert_eq!(sum(&lines, |line| line.failed), 3, "{lines:?}");
    assert_eq!(sum(&lines, |line| line.wrong), 0);
}

#[test]
fn a_response_to_another_request_counts_as_wrong() {
    // Responses are swapped in transit, and each caller receives a complete, well-formed response
    // to another request. Only a check of the content detects this.
    let server = HttpServer::start(
        LOOPBACK_ANY_PORT,
        LOOPBACK_ANY_PORT,
        Arc::new(FixedCompletion),
    )
    .expect("a free port");
    let lines = load::run(&load_to(&server.address().to_string())).expect("a run");
    assert_eq!(sum(&lines, |line| line.correct), 0);
    assert!(
        sum(&lines, |line| line
            .codes
            .get("1000 done")
            .copied()
            .unwrap_or(0))
            > 0
    );
    assert_eq!(
        sum(&lines, |line| line.wrong),
        sum(&lines, |line| line.sent),
        "{lines:?}"
    );
}

fn fast_config() -> EngineConfig {
    EngineConfig {
        speed: 5000.0,
        prefill: 1_000_000.0,
        ..EngineConfig::default()
    }
}

/// Responds to every request with the same text, streamed if requested.
struct FixedCompletion;

impl Handler for FixedCompletion {
    fn handle(&self, mut exchange: Exchange) {
        let request: serde_json::Value = exchange.json().expect("JSON");
        let text = Completion::generate("another question", Some(4)).text();
        let delta = serde_json::json!({ "content": text });
        if request["stream"] == true {
            let chunk = serde_json::json!({ "choices": [{ "delta": delta }] });
            let note = ": siskinyoke code=1000 kind=done";
            let body = format!("data: {chunk}\n\n{note}\n\ndata: [DONE]\n\n");
            exchange.reply(200, "text/event-stream", &body);
        } else {
            let body = serde_json::json!({ "choices": [{ "message": delta }] });
            exchange.reply_json(200, &body);
        }
    }
}
