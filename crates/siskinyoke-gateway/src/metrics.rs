//! OpenTelemetry metrics, exported as a Prometheus page.

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;

use siskinyoke_base::Millis;

/// Upper bounds of the latency histograms' buckets, which range from a plain lookup to a long
/// stream.
const LATENCY_BUCKETS_SECONDS: [f64; 10] = [0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 15.0];

/// The metrics of one instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    responses: Counter<u64>,
    attempts: Counter<u64>,
    store_calls: Counter<u64>,
    closed_connections: Counter<u64>,
    latency: Histogram<f64>,
    queue_wait: Histogram<f64>,
    state: Gauge<f64>,
    // Held because its readers stop when it is dropped.
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates the metrics of one instance.
    ///
    /// # Errors
    ///
    /// Returns the exporter's message if it cannot be set up.
    pub fn new() -> Result<Self, String> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|err| err.to_string())?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("siskinyoke");
        let seconds = |name: &'static str| {
            meter
                .f64_histogram(name)
                .with_boundaries(LATENCY_BUCKETS_SECONDS.to_vec())
                .with_unit("s")
                .build()
        };
        Ok(Self {
            registry,
            responses: meter.u64_counter("siskinyoke_answers").build(),
            attempts: meter.u64_counter("siskinyoke_attempts").build(),
            store_calls: meter.u64_counter("siskinyoke_store_calls").build(),
            closed_connections: meter.u64_counter("siskinyoke_closed_connections").build(),
            latency: seconds("siskinyoke_latency"),
            queue_wait: seconds("siskinyoke_queue_wait"),
            state: meter.f64_gauge("siskinyoke_state").build(),
            _provider: provider,
        })
    }

    /// Counts a response and records its latency, by tier and outcome.
    pub fn record_response(&self, tier: u8, outcome: &'static str, took: Millis) {
        let attributes = [
            KeyValue::new("tier", i64::from(tier)),
            KeyValue::new("outcome", outcome),
        ];
        self.responses.add(1, &attributes);
        self.latency.record(took.as_secs(), &attributes);
    }

    /// Counts an attempt at an endpoint, by outcome.
    pub fn record_attempt(&self, outcome: &'static str) {
        self.attempts.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a call to the store, or to a peer in its place, by kind and success.
    pub fn record_store_call(&self, kind: &'static str, succeeded: bool) {
        let attributes = [
            KeyValue::new("kind", kind),
            KeyValue::new("good", succeeded),
        ];
        self.store_calls.add(1, &attributes);
    }

    /// Counts a connection that this instance closed while its client might still use it, by
    /// listener and reason.
    pub fn record_closed_connection(&self, listener: &'static str, reason: &'static str) {
        let attributes = [
            KeyValue::new("listener", listener),
            KeyValue::new("reason", reason),
        ];
        self.closed_connections.add(1, &attributes);
    }

    /// Records how long a request was queued.
    pub fn record_queue_wait(&self, wait: Millis) {
        self.queue_wait.record(wait.as_secs(), &[]);
    }

    /// Sets the state gauge named `what`.
    pub fn set_state(&self, what: &'static str, value: f64) {
        self.state.record(value, &[KeyValue::new("what", what)]);
    }

    /// Renders the Prometheus page.
    ///
    /// # Errors
    ///
    /// Returns the encoder's message.
    pub fn render(&self) -> Result<Vec<u8>, String> {
        let mut page = Vec::new();
        let families = self.registry.gather();
        TextEncoder::new()
            .encode(&families, &mut page)
            .map_err(|err| err.to_string())?;
        Ok(page)
    }
}
