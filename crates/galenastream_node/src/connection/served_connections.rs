//! The connections that a process serves, and their end when it stops.

use galenastream_runtime::{ConnectionCount, CountedConnection};
use tokio_util::sync::CancellationToken;

/// The connections of callers and of other nodes that this process serves.
///
/// What a process has written on a connection may not have been read yet. If the process ends, and the
/// peer sends more, the kernel resets the connection and discards the rest. So a stopping process closes
/// its side first, and waits until its peers have closed theirs.
#[derive(Debug, Default)]
pub struct ServedConnections {
    open: ConnectionCount,
    closing: CancellationToken,
}

/// A connection that is served. It is counted until it is dropped.
#[derive(Debug)]
pub(super) struct ServedConnection {
    closing: CancellationToken,
    _counted: Option<CountedConnection>,
}

impl ServedConnections {
    /// Adds a connection. It is not waited for if it is accepted after
    /// [`begin_close`](Self::begin_close): all that it gets are short refusals.
    pub(super) fn add(&self) -> ServedConnection {
        let counted = (!self.closing.is_cancelled()).then(|| self.open.count());
        ServedConnection { closing: self.closing.clone(), _counted: counted }
    }

    /// Makes the tasks of all connections close them as soon as nothing is left to write.
    pub fn begin_close(&self) {
        self.closing.cancel();
    }

    /// The number of connections to wait for that their peers have not closed yet.
    pub fn open(&self) -> usize {
        self.open.open()
    }
}

impl ServedConnection {
    /// Waits until the process closes its connections.
    pub(super) async fn closing(&self) {
        self.closing.cancelled().await;
    }
}
