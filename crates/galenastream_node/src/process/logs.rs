//! The log: JSON lines on standard error, one event a line.

use logforth::{append, filter::rustlog::RustLogFilterBuilder, layout::JsonLayout};

/// Starts the log. Call it once, before the first event.
pub fn start_log(filter: &str) -> anyhow::Result<()> {
    let filter = RustLogFilterBuilder::try_from_spec(filter)?.build();
    let stderr = append::Stderr::default().with_layout(JsonLayout::default());
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(stderr))
        .try_apply()?;
    Ok(())
}
