//! Logs and metrics of the process.

use std::sync::OnceLock;

use log::LevelFilter;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use simplelog::{ConfigBuilder, LevelPadding, WriteLogger};

static PROMETHEUS: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the logger on standard error: time, level, then the event.
pub fn install(level: LevelFilter) {
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .set_level_padding(LevelPadding::Off)
        .add_filter_ignore_str("rouille")
        .add_filter_ignore_str("tiny_http")
        .add_filter_ignore_str("hyper")
        .add_filter_ignore_str("h2")
        .add_filter_ignore_str("ureq")
        .build();
    if WriteLogger::init(level, config, std::io::stderr()).is_err() {
        log::warn!("a logger was installed before");
    }
}

/// Installs the metrics recorder of the process, once.
pub fn install_metrics() {
    PROMETHEUS.get_or_init(|| PrometheusBuilder::new().install_recorder().ok());
}

/// The recorder, when it is installed.
pub(crate) fn prometheus() -> Option<&'static PrometheusHandle> {
    PROMETHEUS.get()?.as_ref()
}
