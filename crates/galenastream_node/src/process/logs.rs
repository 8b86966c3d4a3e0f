//! The log: JSON lines on standard output, one event a line.

use logforth::{append, filter::rustlog::RustLogFilterBuilder, layout::JsonLayout};

/// Lines that wait for a slow reader; more are dropped. About a megabyte.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Starts the log. Call it once, before the first event.
pub fn start_log(filter: &str) -> anyhow::Result<()> {
    let filter = RustLogFilterBuilder::try_from_spec(filter)?.build();
    let builder = logforth::starter_log::builder().dispatch(|dispatch| {
        // A reader that is slow or gone must not hold up requests.
        let unblocked = append::asynchronous::AsyncBuilder::new("log")
            .buffered_lines_limit(Some(MAX_BUFFERED_LINES))
            .overflow_drop_incoming()
            .append(append::Stdout::default().with_layout(JsonLayout::default()))
            .build();
        dispatch.filter(filter).append(unblocked)
    });
    builder.try_apply()?;
    Ok(())
}
