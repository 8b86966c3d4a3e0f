//! One listening HTTP server.

use std::{convert::Infallible, net::SocketAddr};

use anyhow::Context;
use tokio::{net::TcpListener, task::JoinHandle};
use volo::{Service, net::incoming::DefaultIncoming};
use volo_http::{context::ServerContext, request::Request, response::Response, server::Server};

/// One listening HTTP server. It stops when the value is closed.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Listens at an address, port zero for any, and serves requests from then on.
    pub async fn start<S>(address: SocketAddr, service: S) -> anyhow::Result<Self>
    where
        S: Service<ServerContext, Request, Response = Response, Error = Infallible>,
        S: Send + Sync + 'static,
    {
        Self::start_on(listen(address).await?, service)
    }

    /// Serves requests at a listener from then on.
    pub fn start_on<S>(listener: TcpListener, service: S) -> anyhow::Result<Self>
    where
        S: Service<ServerContext, Request, Response = Response, Error = Infallible>,
        S: Send + Sync + 'static,
    {
        let address = listener.local_addr()?;
        let task = tokio::spawn(async move {
            let incoming = DefaultIncoming::from(listener);
            if let Err(error) = Server::new(service).run(incoming).await {
                log::error!("the server at {address} stopped: {error}");
            }
        });
        Ok(Self { address, task })
    }

    /// Where the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening. Connections that stand are served until their peers close them.
    pub fn close(self) {
        self.task.abort();
    }
}

/// Listens at an address, port zero for any.
pub(crate) async fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen at {address}; choose a free port"))
}
