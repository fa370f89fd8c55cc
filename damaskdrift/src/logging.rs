//! Log set-up.

use logforth::append;
use logforth::append::asynchronous;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout;
use logforth::starter_log;

use crate::settings;

/// Starts logging to standard error.
///
/// # Errors
///
/// Returns the fault of the filter.
pub fn init(cfg: &settings::Log) -> Result<(), String> {
    let filter = RustLogFilterBuilder::try_from_spec(cfg.filter.as_str())
        .map_err(|error| format!("log.filter: {error}"))?
        .build();
    let append = match cfg.format {
        settings::Format::Text => {
            append::Stderr::default().with_layout(layout::TextLayout::default().no_color())
        }
        settings::Format::Json => {
            append::Stderr::default().with_layout(layout::JsonLayout::default())
        }
    };
    starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(append))
        .try_apply()
        .map_err(|error| format!("log: {error}"))
}

/// Lines that wait to be written; further ones are dropped, so that logging never blocks.
const QUEUED_LINES: usize = 2_048;

/// Starts logging as JSON to standard output through a bounded queue.
///
/// # Errors
///
/// Returns why logging cannot be started.
pub fn init_queued() -> Result<(), String> {
    let filter = RustLogFilterBuilder::try_from_spec("info")
        .map_err(|error| format!("log filter: {error}"))?
        .build();
    let stdout = append::Stdout::default().with_layout(layout::JsonLayout::default());
    let append = asynchronous::AsyncBuilder::new("logs")
        .append(stdout)
        .buffered_lines_limit(Some(QUEUED_LINES))
        .overflow_drop_incoming()
        .build();
    starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(append))
        .try_apply()
        .map_err(|error| format!("log: {error}"))
}

/// Writes the lines that wait.
pub fn flush() {
    log::logger().flush();
}
