//! The caller's side of the interface.

use std::{net::SocketAddr, time::Duration};

use anyhow::Context;
use bytes::Bytes;
use http::Method;
use volo_http::{
    body::{Body, BodyConversion},
    client::Client,
    response::Response,
};

use crate::CallerAnswer;

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How much longer than a request's deadline a caller waits for the answer.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// A caller of the router, or of any other HTTP server of a deployment.
#[derive(Clone)]
pub struct Caller {
    client: Client,
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    method: Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
    deadline_ms: u64,
}

impl CallerRequest {
    /// Creates a request. The path starts with the name of the service.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            deadline_ms: 1_000,
        }
    }

    /// Sets the key.
    pub fn with_key(mut self, key: &str) -> Self {
        self.headers.push(("galenastream-key", key.to_owned()));
        self
    }

    /// Sets the class.
    pub fn with_class(mut self, class: &str) -> Self {
        self.headers.push(("galenastream-class", class.to_owned()));
        self
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Sets the ticket.
    pub fn with_ticket(mut self, ticket: &str) -> Self {
        self.headers.push(("galenastream-ticket", ticket.to_owned()));
        self
    }

    /// Sets the time within which an answer is wanted.
    pub fn with_deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = deadline_ms;
        self
    }

    /// Sets the body.
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }
}

impl Caller {
    /// Creates a caller.
    pub fn new() -> anyhow::Result<Self> {
        let mut builder = Client::builder();
        builder.set_connect_timeout(CONNECT_TIMEOUT);
        Ok(Self { client: builder.build()? })
    }

    /// Sends a request and waits for the whole answer.
    pub async fn call(
        &self,
        server: SocketAddr,
        request: &CallerRequest,
    ) -> anyhow::Result<CallerAnswer> {
        let limit = Duration::from_millis(request.deadline_ms) + ANSWER_GRACE;
        tokio::time::timeout(limit, self.send(server, request))
            .await
            .with_context(|| format!("{server} did not answer within {limit:?}"))?
    }

    async fn send(
        &self,
        server: SocketAddr,
        request: &CallerRequest,
    ) -> anyhow::Result<CallerAnswer> {
        let uri = format!("http://{server}{}", request.path);
        let mut builder = self
            .client
            .request(request.method.clone(), uri)
            .header("galenastream-deadline-ms", request.deadline_ms.to_string());
        for (name, value) in &request.headers {
            builder = builder.header(*name, value.as_str());
        }
        let response: Response<Body> = builder.data(request.body.clone()).send().await?;
        let (parts, body) = response.into_parts();
        let body = body.into_bytes().await.context("the answer was cut")?;
        Ok(CallerAnswer { status: parts.status, headers: parts.headers, body })
    }
}
