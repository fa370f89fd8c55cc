//! Log set-up.

use logforth::append;
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
