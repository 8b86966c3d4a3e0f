//! The log: JSON lines, one event a line.

use logforth::{append, filter::rustlog::RustLogFilterBuilder, layout::JsonLayout};

/// Lines that wait for a slow reader; more are dropped. About a megabyte.
const BUFFERED_LINES: usize = 4_096;

/// Where the log goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogStream {
    /// Standard output, which the platform collects.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Starts the log. Call it once, before the first event.
pub fn start_log(filter: &str, stream: LogStream) -> anyhow::Result<()> {
    let filter = RustLogFilterBuilder::try_from_spec(filter)?.build();
    let layout = JsonLayout::default();
    let builder = logforth::starter_log::builder();
    let builder = match stream {
        LogStream::Stdout => builder.dispatch(|dispatch| {
            // A reader that is slow or gone must not hold up requests.
            let stdout = append::Stdout::default().with_layout(layout);
            let unblocked = append::asynchronous::AsyncBuilder::new("log")
                .buffered_lines_limit(Some(BUFFERED_LINES))
                .overflow_drop_incoming()
                .append(stdout)
                .build();
            dispatch.filter(filter).append(unblocked)
        }),
        LogStream::Stderr => builder.dispatch(|dispatch| {
            dispatch.filter(filter).append(append::Stderr::default().with_layout(layout))
        }),
    };
    builder.try_apply()?;
    Ok(())
}
