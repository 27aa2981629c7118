//! The stand-in engine and service over HTTP.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::sync::Barrier;
use std::thread;

use serde_json::Value;
use serde_json::json;
use ureq::Agent;
use ureq::Body;
use ureq::BodyReader;
use ureq::http::Response;

use siskinyoke_base::Millis;
use siskinyoke_standin::completion::Completion;
use siskinyoke_standin::engine::Engine;
use siskinyoke_standin::engine::EngineConfig;
use siskinyoke_standin::engine::control::Breaks;
use siskinyoke_standin::engine::control::EngineControl;
use siskinyoke_standin::service::Service;
use siskinyoke_standin::service::ServiceConfig;
use siskinyoke_standin::service::ServiceControl;

const PROMPT_TEXT: &str = "the boat sailed at dawn";

/// Events of a stream besides its words: the role, the finish reason and the terminator.
const NON_WORD_EVENTS: usize = 3;

/// Streams that are opened concurrently.
const BURST_STREAMS: usize = 24;

/// New engines that each receive the burst, since the library's race does not occur every time.
const BURST_ROUNDS: usize = 40;

fn engine(config: &EngineConfig) -> Engine {
    Engine::start(config).expect("a free port")
}

fn fast_config() -> EngineConfig {
    EngineConfig {
        speed: 2000.0,
        ..EngineConfig::default()
    }
}

fn agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_idle_connections(0)
        .timeout_global(Some(Millis::from_secs(20).into()))
        .build();
    Agent::new_with_config(config)
}

fn body(content: &str, words: u32, stream: bool) -> Value {
    json!({
        "model": "small",
        "messages": [{ "role": "user", "content": content }],
        "max_tokens": words,
        "stream": stream,
    })
}

fn send(
    engine: &Engine,
    name: &str,
    resume: usize,
    body: &Value,
) -> Result<Response<Body>, ureq::Error> {
    let mut request = agent()
        .post(format!("http://{}/v1/chat/completions", engine.address()))
        .header("X-Request-Id", name);
    if let Some(last) = resume.checked_sub(1) {
        request = request.header("Last-Event-ID", last.to_string());
    }
    request.send_json(body)
}

/// Returns the events of a stream and how it ended.
fn events(response: Response<Body>) -> (Vec<String>, io::Result<()>) {
    let mut events = Vec::new();
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        match line {
            Ok(line) if line.is_empty() || line.starts_with("id: ") => {}
            Ok(line) => events.push(line),
            Err(err) => return (events, Err(err)),
        }
    }
    (events, Ok(()))
}

fn text(events: &[String]) -> String {
    let chunks = events.iter().filter_map(|event| {
        let chunk: Value = serde_json::from_str(event.strip_prefix("data: ")?).ok()?;
        Some(chunk["choices"][0]["delta"]["content"].as_str()?.to_owned())
    });
    chunks.collect()
}

#[test]
fn a_stream_is_complete_and_answers_its_request() {
    let engine = engine(&fast_config());
    let response = send(&engine, "a", 0, &body(PROMPT_TEXT, 12, true)).expect("a response");
    let (events, end) = events(response);
    assert!(end.is_ok());
    assert_eq!(events.len(), 12 + NON_WORD_EVENTS);
    assert_eq!(events.last().map(String::as_str), Some("data: [DONE]"));
    assert_eq!(
        text(&events),
        Completion::generate(PROMPT_TEXT, Some(12)).text()
    );
    wait_for(|| engine.counts().requests["a"].completed == 1);
    assert_eq!(engine.counts().requests["a"].dispatched, 1);
}

#[test]
fn an_unstreamed_response_reports_its_usage() {
    let engine = engine(&fast_config());
    let response = send(&engine, "a", 0, &body(PROMPT_TEXT, 12, false));
    let response: Value = response
        .expect("a response")
        .body_mut()
        .read_json()
        .expect("JSON");
    let content = &response["choices"][0]["message"]["content"];
    assert_eq!(*content, Completion::generate(PROMPT_TEXT, Some(12)).text());
    assert_eq!(response["usage"]["completion_tokens"], 12);
}

#[test]
fn a_resumed_stream_repeats_and_loses_no_event() {
    // A stream breaks half way and is resumed from the next event. If engine and caller numbered
    // events differently, the text would repeat or lose a word.
    let engine = engine(&fast_config());
    let request = body(PROMPT_TEXT, 20, true);
    engine.control(&EngineControl {
        breaks: Some(Breaks {
            after: 7,
            requests: 1,
        }),
        ..EngineControl::default()
    });
    let (mut received, end) = events(send(&engine, "a", 0, &request).expect("a stream"));
    assert!(end.is_err(), "a broken stream must not look complete");
    assert_eq!(received.len(), 7);
    let (rest, end) = events(send(&engine, "a", received.len(), &request).expect("a stream"));
    assert!(end.is_ok());
    received.extend(rest);
    let (complete, _) = events(send(&engine, "b", 0, &request).expect("a stream"));
    assert_eq!(received, complete);
    assert_eq!(engine.counts().requests["a"].dispatched, 2);
}

#[test]
fn a_request_with_the_crash_marker_fails_all_requests_in_flight() {
    // One request crashes the engine, and an unrelated request in flight loses its connection.
    // Both callers see a broken connection, and new ones are refused until the engine is up again.
    let engine = engine(&EngineConfig {
        speed: 20.0,
        crash_marker: Some("poison".to_owned()),
        crash_span: Millis(300),
        ..EngineConfig::default()
    });
    let unmarked = send(&engine, "innocent", 0, &body(PROMPT_TEXT, 1000, true)).expect("a stream");
    assert!(send(&engine, "marked", 0, &body("a poison pill", 4, true)).is_err());
    assert!(events(unmarked).1.is_err());
    assert_eq!(engine.counts().crashes, 1);
    wait_for(|| send(&engine, "after", 0, &body(PROMPT_TEXT, 1, true)).is_ok());
}

// Guards against a response to a `down` command that arrives before the outage has begun.
#[test]
fn a_down_command_is_answered_once_the_outage_has_begun() {
    let engine = engine(&fast_config());
    let send_down = |address: SocketAddr, duration_ms: u64| {
        let url = format!("http://{address}/control");
        agent().post(url).send_json(json!({ "down": duration_ms }))
    };
    let response = send_down(engine.address(), 60_000).expect("a response");
    assert_eq!(response.status(), 200);
    assert!(
        send_down(engine.address(), 0).is_err(),
        "the engine should be down"
    );
    assert!(send_down(engine.control_address(), 0).is_ok());
    wait_for(|| send_down(engine.address(), 0).is_ok());
}

#[test]
fn a_disconnected_caller_frees_its_slot() {
    // A caller disconnects during a long response. If the engine continued, the unread response
    // would occupy its only slot for minutes.
    let engine = engine(&EngineConfig {
        slots: 1,
        speed: 20.0,
        ..EngineConfig::default()
    });
    let long_stream = send(&engine, "long", 0, &body(PROMPT_TEXT, 5000, true)).expect("a stream");
    drop(long_stream);
    wait_for(|| engine.counts().cancelled == 1);
    let next_stream = send(&engine, "next", 0, &body(PROMPT_TEXT, 1, true)).expect("a stream");
    assert!(events(next_stream).1.is_ok());
    assert!(engine.counts().wasted > 0);
}

#[test]
fn a_burst_of_streams_starts_before_any_has_ended() {
    // Many callers connect at once and keep their streams open. The HTTP library may queue two
    // new connections for one idle thread; the second then waits until any stream ends, which
    // delays its first token by seconds. Here no stream ends, so the token would never arrive.
    for _ in 0..BURST_ROUNDS {
        let engine = engine(&EngineConfig {
            slots: 1000,
            speed: 0.001,
            ..EngineConfig::default()
        });
        let start = Barrier::new(BURST_STREAMS);
        let started = thread::scope(|scope| {
            let callers: Vec<_> = (0..BURST_STREAMS)
                .map(|_| scope.spawn(|| open_stream(&engine, &start)))
                .collect();
            let streams = callers
                .into_iter()
                .map(|caller| caller.join().ok().flatten());
            // Collected first, so that each stays open until the last has started.
            let streams: Vec<_> = streams.collect();
            streams.into_iter().flatten().count()
        });
        assert_eq!(started, BURST_STREAMS);
    }
}

/// Opens a stream and reads its first line; the stream stays open until the reader is dropped.
fn open_stream(engine: &Engine, start: &Barrier) -> Option<BufReader<BodyReader<'static>>> {
    start.wait();
    let response = send(engine, "", 0, &body(PROMPT_TEXT, 5, true)).ok()?;
    let mut reader = BufReader::new(response.into_body().into_reader());
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    Some(reader)
}

#[test]
fn a_frozen_engine_keeps_its_connections_and_resumes() {
    let engine = engine(&fast_config());
    engine.control(&EngineControl {
        freeze: Some(Millis(200)),
        ..EngineControl::default()
    });
    let response =
        send(&engine, "a", 0, &body(PROMPT_TEXT, 3, true)).expect("a response after the freeze");
    assert_eq!(events(response).0.len(), 3 + NON_WORD_EVENTS);
}

#[test]
fn a_cached_prefix_is_not_prefilled_again() {
    let engine = engine(&fast_config());
    let essay = "all pupils write about the sea. ".repeat(64);
    for name in ["first", "second"] {
        let response = send(&engine, name, 0, &body(&essay, 1, true)).expect("a stream");
        assert!(events(response).1.is_ok());
    }
    wait_for(|| engine.counts().completed == 2);
    let counts = engine.counts();
    assert_eq!(counts.cached, 512, "all full blocks of 16 tokens");
}

#[test]
fn metrics_count_running_and_waiting_requests() {
    let engine = engine(&EngineConfig {
        slots: 1,
        speed: 20.0,
        ..EngineConfig::default()
    });
    let request = body(PROMPT_TEXT, 5000, true);
    let running = send(&engine, "a", 0, &request).expect("a stream");
    let address = engine.address();
    let waiting = thread::spawn(move || {
        let url = format!("http://{address}/v1/chat/completions");
        agent().post(url).send_json(&request).is_err()
    });
    wait_for(|| {
        let url = format!("http://{address}/metrics");
        let page = agent()
            .get(url)
            .call()
            .and_then(|mut page| page.body_mut().read_to_string());
        let page = page.expect("a page");
        page.contains("vllm:num_requests_running{model_name=\"small\"} 1\n")
            && page.contains("vllm:num_requests_waiting{model_name=\"small\"} 1\n")
    });
    engine.stop();
    assert!(waiting.join().expect("the thread"));
    drop(running);
}

#[test]
fn a_service_counts_an_execution_whose_response_was_cut() {
    // A booking is executed and the connection breaks before the response. A caller that assumes
    // it did not run books a second time; the serial numbers show that both ran.
    let service = Service::start(&ServiceConfig::default()).expect("a free port");
    service.control(&ServiceControl {
        lose_answers: Some(1),
        ..ServiceControl::default()
    });
    let send_booking = || {
        let url = format!("http://{}/seats?hall=2", service.address());
        let request = agent().post(url).header("X-Request-Id", "seat-4");
        request.send("two seats")
    };
    assert!(send_booking().is_err());
    let response: Value = send_booking()
        .expect("a response")
        .body_mut()
        .read_json()
        .expect("JSON");
    assert_eq!(response["serial"], 2);
    assert_eq!(response["path"], "/seats?hall=2");
    assert_eq!(response["body"], "two seats");
    assert_eq!(service.executions()["seat-4"], 2);
}

/// Polls until a condition holds that other threads bring about.
fn wait_for(mut condition: impl FnMut() -> bool) {
    for _ in 0..500 {
        if condition() {
            return;
        }
        thread::sleep(Millis(10).into());
    }
    panic!("condition did not hold within 5 s");
}
