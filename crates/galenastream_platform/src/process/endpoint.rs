//! One service of the platform, reached over HTTP.

use std::{error::Error, io, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode};
use http_body_util::{BodyExt, Limited};
use tokio::{
    sync::{Semaphore, SemaphorePermit},
    time::{Instant, timeout_at},
};
use volo_http::{
    body::Body,
    client::{Client, RequestBuilder},
    error::{ClientError, client::ErrorKind},
    response::Response,
};

use super::backoff::Backoff;
use crate::PlatformLimits;

/// A request to a service.
#[derive(Debug)]
pub(crate) struct ServiceRequest<'a> {
    /// Names the request in the metrics.
    pub operation: &'static str,
    pub method: Method,
    pub path: &'a str,
    pub headers: &'a [(&'static str, &'static str)],
    pub body: Bytes,
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct ServiceAnswer {
    pub status: StatusCode,
    pub body: Bytes,
}

/// Why there is no whole answer.
#[derive(Debug)]
pub(crate) enum ServiceError {
    /// No byte of the request can have reached the service.
    NotSent(String),
    /// The request may have been carried out.
    Unknown(String),
}

/// One service of the platform: a connection pool under limits.
#[derive(Debug)]
pub(crate) struct Endpoint {
    base: String,
    client: ClientHandle,
    limits: PlatformLimits,
    in_flight: Semaphore,
    backoff: Backoff,
}

/// The HTTP client, which has no `Debug` of its own.
struct ClientHandle(Client);

impl std::fmt::Debug for ClientHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Client")
    }
}

impl Endpoint {
    /// Creates an endpoint from its base address, as in `http://10.0.0.1:8000`.
    pub(crate) fn new(base: &str, limits: PlatformLimits) -> Self {
        Self {
            base: base.trim_end_matches('/').to_owned(),
            client: ClientHandle(Client::default()),
            limits,
            in_flight: Semaphore::new(limits.max_in_flight),
            backoff: Backoff::new(&limits),
        }
    }

    /// Sends a request and waits for the whole answer, within the time limit.
    pub(crate) async fn call(
        &self,
        request: ServiceRequest<'_>,
    ) -> Result<ServiceAnswer, ServiceError> {
        let operation = request.operation;
        let started_at = Instant::now();
        let deadline = started_at + Duration::from_millis(self.limits.timeout_ms);
        let result = self.call_until(request, deadline).await;
        self.record(operation, started_at, &result);
        result
    }

    async fn call_until(
        &self,
        request: ServiceRequest<'_>,
        deadline: Instant,
    ) -> Result<ServiceAnswer, ServiceError> {
        let _permit = self.wait_for_turn(deadline).await?;
        let builder = self.build(request);
        let result = match timeout_at(deadline, self.exchange(builder)).await {
            Ok(result) => result,
            Err(_) => Err(ServiceError::Unknown(self.timeout_reason())),
        };
        match &result {
            Ok(answer) if !answer.status.is_server_error() => self.backoff.record_success(),
            _ => self.backoff.record_failure(Instant::now()),
        }
        result
    }

    async fn wait_for_turn(&self, deadline: Instant) -> Result<SemaphorePermit<'_>, ServiceError> {
        let turn = async {
            let permit = self.in_flight.acquire().await;
            if let Some(not_before) = self.backoff.not_before() {
                tokio::time::sleep_until(not_before).await;
            }
            permit
        };
        match timeout_at(deadline, turn).await {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(_)) => Err(ServiceError::NotSent("the client is closed".to_owned())),
            Err(_) => Err(ServiceError::NotSent(format!(
                "no turn within {} ms: too many requests in flight, or a pause after failures",
                self.limits.timeout_ms
            ))),
        }
    }

    fn build(&self, request: ServiceRequest<'_>) -> RequestBuilder<Client> {
        let uri = format!("{}{}", self.base, request.path);
        let mut builder = self.client.0.request(request.method, uri);
        for (name, value) in request.headers {
            builder = builder.header(*name, *value);
        }
        builder.body(Body::from(request.body))
    }

    async fn exchange(
        &self,
        builder: RequestBuilder<Client>,
    ) -> Result<ServiceAnswer, ServiceError> {
        let response: Response = builder.send().await.map_err(|it| self.classify(&it))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), self.limits.max_answer_bytes);
        let collected = body.collect().await.map_err(|it| {
            ServiceError::Unknown(format!("the answer of {} was cut short: {it}", self.base))
        })?;
        Ok(ServiceAnswer { status, body: collected.to_bytes() })
    }

    fn classify(&self, error: &ClientError) -> ServiceError {
        let reason = format!("{}: {error}", self.base);
        // The connector reports a refused or failed connection as a bare I/O error; once a
        // connection stands, errors come from the HTTP layer.
        let failed_to_connect = error.source().is_some_and(|it| it.is::<io::Error>());
        match error.kind() {
            ErrorKind::Request if failed_to_connect => ServiceError::NotSent(reason),
            ErrorKind::Builder | ErrorKind::Connect | ErrorKind::LoadBalance => {
                ServiceError::NotSent(reason)
            }
            _ => ServiceError::Unknown(reason),
        }
    }

    fn timeout_reason(&self) -> String {
        format!("no answer from {} within {} ms", self.base, self.limits.timeout_ms)
    }

    fn record(
        &self,
        operation: &'static str,
        started_at: Instant,
        result: &Result<ServiceAnswer, ServiceError>,
    ) {
        let outcome = match result {
            Ok(answer) if answer.status.is_success() => "success",
            Ok(_) => "refused",
            Err(ServiceError::NotSent(_)) => "not_sent",
            Err(ServiceError::Unknown(_)) => "unknown",
        };
        metrics::counter!(
            "galenastream_platform_requests_total",
            "operation" => operation,
            "outcome" => outcome
        )
        .increment(1);
        metrics::histogram!(
            "galenastream_platform_request_seconds",
            "operation" => operation
        )
        .record(started_at.elapsed());
    }
}
