//! A listener that can be closed while its connections stay open.

use std::{io, sync::Arc};

use tokio::{net::TcpListener, sync::Notify};
use volo::net::{
    conn::Conn,
    incoming::{DefaultIncoming, Incoming, MakeIncoming},
};

/// A listener that accepts connections until it is told to close.
#[derive(Debug)]
pub(super) struct ClosableListener {
    incoming: Option<DefaultIncoming>,
    close: Arc<Notify>,
}

impl ClosableListener {
    pub(super) fn new(listener: TcpListener, close: Arc<Notify>) -> Self {
        Self { incoming: Some(DefaultIncoming::from(listener)), close }
    }
}

impl MakeIncoming for ClosableListener {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}

impl Incoming for ClosableListener {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        if let Some(incoming) = &mut self.incoming {
            tokio::select! {
                accepted = incoming.accept() => return accepted,
                () = self.close.notified() => {}
            }
        }
        self.incoming = None;
        std::future::pending().await
    }
}
