//! HTTP client of a node's admin address.

use std::{net::SocketAddr, time::Duration};

use clap::ArgMatches;
use galenastream_node::ErrorDocument;
use http::{Method, StatusCode};
use http_body_util::{BodyExt, Limited};
use serde::{Serialize, de::DeserializeOwned};
use volo_http::{
    body::Body,
    client::{Client, RequestBuilder},
    error::ClientError,
    response::Response,
};

use crate::CtlError;

/// The longest answer that is read.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// HTTP client of a node's admin address.
pub(crate) struct AdminClient {
    node: SocketAddr,
    timeout: Duration,
    client: Client,
}

/// Why a request has no whole answer.
struct Failure {
    reason: String,
    /// Whether the node may have received the request.
    may_be_received: bool,
}

impl AdminClient {
    /// A client of the node that the arguments name.
    pub(crate) fn new(matches: &ArgMatches) -> Self {
        let node = *matches.get_one::<SocketAddr>("node").expect("clap requires the node");
        let timeout_ms = *matches.get_one::<u64>("timeout_ms").expect("the timeout has a default");
        Self { node, timeout: Duration::from_millis(timeout_ms), client: Client::default() }
    }

    /// The node's admin address.
    pub(crate) fn node(&self) -> String {
        self.node.to_string()
    }

    /// Reads a document.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        self.read(self.request(Method::GET, path)).await
    }

    /// Reads a document that a query selects.
    pub(crate) async fn get_with_query<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &impl Serialize,
    ) -> Result<T, CtlError> {
        self.read(self.request(Method::GET, path).set_query(query)).await
    }

    /// Sends an order that changes something.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        order: &impl Serialize,
    ) -> Result<T, CtlError> {
        let body = serde_json::to_vec(order).expect("orders have texts as keys");
        let request = self
            .request(Method::POST, path)
            .header("content-type", "application/json")
            .body(Body::from(body));
        match self.exchange(request).await {
            Ok((status, body)) => self.parse(status, &body).map_err(order_may_stand),
            Err(failure) if failure.may_be_received => {
                Err(CtlError::NodeUnknown { node: self.node(), reason: failure.reason })
            }
            Err(failure) => Err(self.unreachable(failure.reason)),
        }
    }

    async fn read<T: DeserializeOwned>(
        &self,
        request: RequestBuilder<Client>,
    ) -> Result<T, CtlError> {
        match self.exchange(request).await {
            Ok((status, body)) => self.parse(status, &body),
            Err(failure) => Err(self.unreachable(failure.reason)),
        }
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder<Client> {
        self.client.request(method, format!("http://{}{path}", self.node))
    }

    async fn exchange(
        &self,
        request: RequestBuilder<Client>,
    ) -> Result<(StatusCode, Vec<u8>), Failure> {
        match tokio::time::timeout(self.timeout, exchange(request)).await {
            Ok(result) => result,
            Err(_) => Err(Failure {
                reason: format!("no answer within {} ms", self.timeout.as_millis()),
                may_be_received: true,
            }),
        }
    }

    fn parse<T: DeserializeOwned>(&self, status: StatusCode, body: &[u8]) -> Result<T, CtlError> {
        if status.is_success() {
            return serde_json::from_slice(body).map_err(|error| CtlError::NodeAnswer {
                node: self.node(),
                reason: error.to_string(),
            });
        }
        let reason = match serde_json::from_slice::<ErrorDocument>(body) {
            Ok(refused) => format!("{}\n  remedy: {}", refused.error, refused.remedy),
            Err(_) => format!("status {status}"),
        };
        Err(CtlError::NodeRefused { node: self.node(), reason })
    }

    fn unreachable(&self, reason: String) -> CtlError {
        CtlError::NodeUnreachable { node: self.node(), reason }
    }
}

async fn exchange(request: RequestBuilder<Client>) -> Result<(StatusCode, Vec<u8>), Failure> {
    let response: Response = request.send().await.map_err(|error| failure(&error))?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    let collected = body.collect().await.map_err(|error| Failure {
        reason: format!("the answer was cut short: {error}"),
        may_be_received: true,
    })?;
    Ok((status, collected.to_bytes().to_vec()))
}

/// An order whose answer cannot be read may have been carried out.
fn order_may_stand(error: CtlError) -> CtlError {
    match error {
        CtlError::NodeAnswer { node, reason } => CtlError::NodeUnknown { node, reason },
        other => other,
    }
}

fn failure(error: &ClientError) -> Failure {
    use std::error::Error;
    // The connector reports a failed connection as a bare I/O error.
    let failed_to_connect = error.source().is_some_and(|source| source.is::<std::io::Error>());
    Failure { reason: error.to_string(), may_be_received: !failed_to_connect }
}
