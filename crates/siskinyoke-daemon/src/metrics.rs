//! Metrics through OpenTelemetry, on a page that Prometheus reads.

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;

use siskinyoke_base::Code;

/// The daemon's metrics.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    answers: Counter<u64>,
    first: Histogram<f64>,
    // Kept alive, as its readers stop when it is dropped.
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Makes the metrics of one daemon.
    ///
    /// # Errors
    ///
    /// The exporter's message if it cannot be set up.
    pub fn new() -> Result<Self, String> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|err| err.to_string())?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("siskinyoke");
        Ok(Self {
            registry,
            answers: meter.u64_counter("siskinyoke_answers").build(),
            first: meter
                .f64_histogram("siskinyoke_first_piece_seconds")
                .build(),
            _provider: provider,
        })
    }

    /// Counts an answer by its code.
    pub fn answered(&self, code: Code) {
        let attributes = [
            KeyValue::new("code", i64::from(code.number())),
            KeyValue::new("kind", code.kind().as_str()),
        ];
        self.answers.add(1, &attributes);
    }

    /// Records how long a caller waited for the first piece of its answer.
    pub fn first_piece(&self, seconds: f64) {
        self.first.record(seconds, &[]);
    }

    /// Writes the page that Prometheus reads.
    pub fn page(&self) -> Vec<u8> {
        let mut page = Vec::new();
        let families = self.registry.gather();
        if let Err(err) = TextEncoder::new().encode(&families, &mut page) {
            log::warn!("metrics cannot be written: {err}");
        }
        page
    }
}
