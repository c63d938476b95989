//! Metrics: one recorder per daemon, even if several daemons run in one process.

use std::{
    io,
    sync::Arc,
    thread::{self, JoinHandle},
};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle, PrometheusRecorder};

/// Metrics recorder of a daemon.
#[derive(Clone)]
pub struct Telemetry {
    recorder: Arc<PrometheusRecorder>,
    handle: PrometheusHandle,
}

/// Bucket bounds of the latency histograms, in seconds.
pub(crate) const LATENCY_BUCKETS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 60.0];
const STACK_BYTES: usize = 256 * 1024;

impl Telemetry {
    /// Creates an empty recorder.
    pub fn new() -> Telemetry {
        let builder = PrometheusBuilder::new()
            .set_buckets(&LATENCY_BUCKETS)
            .expect("the list of buckets is not empty");
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        Telemetry { recorder: Arc::new(recorder), handle }
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }

    /// Spawns a thread whose metrics go to this recorder.
    pub fn spawn(
        &self,
        name: &str,
        run: impl FnOnce() + Send + 'static,
    ) -> io::Result<JoinHandle<()>> {
        let recorder = Arc::clone(&self.recorder);
        thread::Builder::new()
            .name(name.to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || metrics::with_local_recorder(&*recorder, run))
    }
}
