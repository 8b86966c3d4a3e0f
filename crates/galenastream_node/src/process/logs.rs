//! The log: JSON lines on standard output, one event per line.

use std::{sync::mpsc, thread, time::Duration};

use logforth::{append, filter::rustlog::RustLogFilterBuilder, layout::JsonLayout};

/// Number of lines that are buffered for a slow reader, about 1 MB; further lines are dropped.
const MAX_BUFFERED_LINES: usize = 4_096;

/// How long the exit of the process waits until the buffered lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Starts logging with a filter such as `info` or `target=level`. Must be called once, before the
/// first log event.
///
/// Returns an error if the filter is malformed or logging has been started before.
pub fn start_log(filter: &str) -> anyhow::Result<()> {
    let filter = RustLogFilterBuilder::try_from_spec(filter)?.build();
    let builder = logforth::starter_log::builder().dispatch(|dispatch| {
        // A slow or closed reader must not block requests.
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

/// Writes the buffered lines before the process exits. A reader that does not take them in time
/// does not hold up the exit.
pub fn flush_log() {
    let (done, flushed) = mpsc::channel();
    thread::spawn(move || {
        log::logger().flush();
        // The receiver is gone if the flush took too long.
        let _ = done.send(());
    });
    let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
}
