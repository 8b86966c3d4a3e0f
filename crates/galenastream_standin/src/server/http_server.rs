//! An HTTP server.

use std::{
    convert::Infallible,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex, PoisonError},
};

use anyhow::Context;
use tokio::{
    runtime::{Builder, Runtime},
    sync::Notify,
};
use volo::Service;
use volo_http::{context::ServerContext, request::Request, response::Response, server::Server};

use super::closable_listener::ClosableListener;

/// The maximum number of headers of a request; more than nodes forward in tests.
const MAX_HEADERS: usize = 4_096;

/// An HTTP server. Its tasks have a runtime of their own, so that stopping it also closes all its
/// connections immediately, as a crash does.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    runtime: Mutex<Option<Runtime>>,
    close_listener: Arc<Notify>,
}

impl HttpServer {
    /// Listens at an address and serves its requests. Port 0 stands for any free port.
    pub fn start<S>(address: SocketAddr, service: S) -> anyhow::Result<Self>
    where
        S: Service<ServerContext, Request, Response = Response, Error = Infallible>,
        S: Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address)
            .with_context(|| format!("cannot listen at {address}; choose a free port"))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
        let guard = runtime.enter();
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let close_listener = Arc::new(Notify::new());
        let incoming = ClosableListener::new(listener, close_listener.clone());
        runtime.spawn(async move {
            let mut server = Server::new(service);
            server.http1_config().set_max_headers(MAX_HEADERS);
            if let Err(error) = server.run(incoming).await {
                log::error!("the server at {address} stopped: {error}");
            }
        });
        drop(guard);
        Ok(Self { address, runtime: Mutex::new(Some(runtime)), close_listener })
    }

    /// Returns the address where the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening. Open connections are served on.
    pub fn stop_listening(&self) {
        self.close_listener.notify_one();
    }

    /// Closes all connections and stops listening.
    pub fn stop(&self) {
        let runtime = self.runtime.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(runtime) = runtime {
            runtime.shutdown_background();
        }
    }

    /// Closes all connections and stops listening.
    pub fn close(self) {
        self.stop();
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        // Dropping a runtime in an asynchronous context panics; shutting it down in the background
        // does not.
        self.stop();
    }
}
