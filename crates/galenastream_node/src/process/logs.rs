//! The log: JSON lines, one event a line.

use logforth::{append, filter::rustlog::RustLogFilterBuilder, layout::JsonLayout};

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
            dispatch.filter(filter).append(append::Stdout::default().with_layout(layout))
        }),
        LogStream::Stderr => builder.dispatch(|dispatch| {
            dispatch.filter(filter).append(append::Stderr::default().with_layout(layout))
        }),
    };
    builder.try_apply()?;
    Ok(())
}
