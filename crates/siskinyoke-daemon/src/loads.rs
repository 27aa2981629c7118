//! Reads endpoints' load reports from their metrics pages, a few a second.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Limited;
use hyper::Request;
use hyper::client::conn::http1;
use hyper::header;
use hyper_util::rt::TokioIo;
use prometheus_parse::Scrape;
use prometheus_parse::Value;
use rand::Rng;
use tokio::net::TcpStream;
use tokio::time::timeout;

use siskinyoke_base::EndpointId;
use siskinyoke_base::Millis;
use siskinyoke_policy::LoadReport;

/// Pages read a second by one daemon, however many endpoints there are: the reports are hints
/// only, and 600 endpoints read by 370 daemons each second would be a load of their own.
const PAGES_A_SECOND: u64 = 2;

/// The most time to read a page.
const PATIENCE: Duration = Duration::from_millis(500);

/// The most bytes of a page.
const PAGE: usize = 1 << 20;

/// Metric of requests that run, as the engines publish it but for the colon.
///
/// The library that reads the page passes over names with a colon, which the format allows.
const RUNNING: &str = "vllm_num_requests_running";

/// Metric of requests that wait inside the engine.
const WAITING: &str = "vllm_num_requests_waiting";

/// Endpoints with their addresses, as the core knows them at the moment.
pub type Endpoints = Arc<dyn Fn() -> Vec<(EndpointId, String)> + Send + Sync>;

/// Reads pages of endpoints picked at random until the runtime stops.
pub async fn poll(endpoints: Endpoints, tell: impl Fn(EndpointId, LoadReport) + Send) {
    loop {
        tokio::time::sleep(Duration::from_millis(1000 / PAGES_A_SECOND)).await;
        let all = endpoints();
        if all.is_empty() {
            continue;
        }
        let place = rand::rng().random_range(0..all.len());
        let (id, address) = &all[place];
        let begun = Instant::now();
        // An endpoint that does not answer is found by its requests, not here.
        if let Ok(Some(mut report)) = timeout(PATIENCE, read(address)).await {
            report.age += Millis(u64::try_from(begun.elapsed().as_millis()).unwrap_or_default());
            tell(id.clone(), report);
        }
    }
}

async fn read(address: &str) -> Option<LoadReport> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let request = Request::get("/metrics").header(header::HOST, address);
    let request = request.body(Empty::<Bytes>::new()).ok()?;
    // The connection ends when the answer has been read and the sender is dropped.
    tokio::spawn(connection);
    let answer = sender.send_request(request).await.ok()?;
    let page = Limited::new(answer.into_body(), PAGE)
        .collect()
        .await
        .ok()?;
    let text = String::from_utf8(page.to_bytes().to_vec()).ok()?;
    parse(&text)
}

/// Reads a report from a metrics page; a page without the metrics gives none.
pub fn parse(page: &str) -> Option<LoadReport> {
    let lines = page.lines().map(|line| Ok(line.replacen(':', "_", 1)));
    let scrape = Scrape::parse(lines).ok()?;
    let sum = |name: &str| {
        let samples = scrape.samples.iter().filter(|sample| sample.metric == name);
        let values: Vec<f64> = samples.filter_map(|sample| number(&sample.value)).collect();
        (!values.is_empty()).then(|| values.iter().sum::<f64>())
    };
    Some(LoadReport {
        age: Millis::ZERO,
        running: count(sum(RUNNING)?),
        waiting: count(sum(WAITING).unwrap_or(0.0)),
    })
}

fn number(value: &Value) -> Option<f64> {
    match value {
        Value::Counter(value) | Value::Gauge(value) | Value::Untyped(value) => Some(*value),
        Value::Histogram(_) | Value::Summary(_) => None,
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "it is bounded"
)]
fn count(value: f64) -> u32 {
    value.clamp(0.0, 1e6) as u32
}
