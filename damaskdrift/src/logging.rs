//! Logger initialization.

use logforth::append;
use logforth::append::asynchronous;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout;
use logforth::starter_log;

use crate::settings;

/// Initializes logging to standard error.
///
/// # Errors
///
/// Returns why the filter is invalid or the logger cannot be installed.
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
        .map_err(|error| format!("cannot install the logger: {error}"))
}

/// Length of the queue of lines to write; further lines are dropped, so that logging never blocks.
const MAX_QUEUED_LINES: usize = 2_048;

/// Initializes logging as JSON to standard output through a bounded queue.
///
/// # Errors
///
/// Returns why the logger cannot be installed.
pub fn init_queued() -> Result<(), String> {
    let filter = RustLogFilterBuilder::try_from_spec("info")
        .map_err(|error| format!("invalid log filter: {error}"))?
        .build();
    let stdout = append::Stdout::default().with_layout(layout::JsonLayout::default());
    let append = asynchronous::AsyncBuilder::new("logs")
        .append(stdout)
        .buffered_lines_limit(Some(MAX_QUEUED_LINES))
        .overflow_drop_incoming()
        .build();
    starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(append))
        .try_apply()
        .map_err(|error| format!("cannot install the logger: {error}"))
}

/// Writes all queued lines before it returns.
pub fn flush() {
    log::logger().flush();
}
