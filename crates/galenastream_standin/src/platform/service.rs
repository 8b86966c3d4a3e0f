//! What table service and object store have in common: faults around each request.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use http::{Method, StatusCode, request::Parts};
use tokio::time::sleep;
use volo::Service;
use volo_http::{context::ServerContext, request::Request, response::Response};

use super::{
    FaultSwitch, PlatformFaults,
    faults::{AnswerFault, Treatment},
    object_service::ObjectService,
    table_service::TableService,
};
use crate::{half_reply, read_body, read_json, reply, text_reply};

const FAULTS_PATH: &str = "/standin/faults";

/// A service of the platform.
#[derive(Debug, Clone)]
pub(crate) enum PlatformService {
    Tables(Arc<TableService>),
    Objects(Arc<ObjectService>),
}

/// A service of the platform with its faults.
#[derive(Debug, Clone)]
pub(crate) struct FaultyService {
    service: PlatformService,
    faults: Arc<FaultSwitch>,
}

impl PlatformService {
    fn is_write(&self, parts: &Parts) -> bool {
        match self {
            Self::Tables(_) => TableService::is_write(parts),
            Self::Objects(_) => parts.method == Method::PUT,
        }
    }

    fn handle(&self, parts: &Parts, body: Bytes) -> Response {
        match self {
            Self::Tables(tables) => tables.handle(parts, &body),
            Self::Objects(objects) => objects.handle(parts, body),
        }
    }
}

impl FaultyService {
    pub(crate) fn new(service: PlatformService, faults: Arc<FaultSwitch>) -> Self {
        Self { service, faults }
    }

    async fn set_faults(&self, request: Request) -> Response {
        match read_json::<PlatformFaults>(request).await {
            Ok(faults) => {
                self.faults.set(faults);
                text_reply(StatusCode::OK, "set")
            }
            Err(error) => text_reply(StatusCode::BAD_REQUEST, error),
        }
    }

    async fn serve(&self, request: Request) -> Response {
        let (parts, body) = request.into_parts();
        let Some(body) = read_body(Request::from_parts(Parts::clone(&parts), body)).await else {
            return text_reply(StatusCode::BAD_REQUEST, "the body was cut off");
        };
        match self.faults.treat(self.service.is_write(&parts)) {
            Treatment::Serve(fault) => spoil(self.carry_out(parts, body).await, fault),
            Treatment::Ignore => std::future::pending().await,
            Treatment::Refuse(status) => refusal(status),
            Treatment::DropAnswer => {
                self.carry_out(parts, body).await;
                std::future::pending().await
            }
            Treatment::ApplyLate(late) => {
                let service = self.service.clone();
                tokio::spawn(async move {
                    sleep(late).await;
                    service.handle(&parts, body);
                });
                std::future::pending().await
            }
        }
    }

    /// Carries a request out, also when the client no longer waits for the answer.
    async fn carry_out(&self, parts: Parts, body: Bytes) -> Response {
        let delay = self.faults.delay();
        if delay.is_zero() {
            return self.service.handle(&parts, body);
        }
        let service = self.service.clone();
        let task = tokio::spawn(async move {
            sleep(delay / 2).await;
            let response = service.handle(&parts, body);
            sleep(delay / 2).await;
            response
        });
        task.await.unwrap_or_else(|_| refusal(500))
    }
}

impl Service<ServerContext, Request> for FaultyService {
    type Response = Response;
    type Error = Infallible;

    async fn call(
        &self,
        _context: &mut ServerContext,
        request: Request,
    ) -> Result<Response, Infallible> {
        if request.method() == Method::POST && request.uri().path() == FAULTS_PATH {
            return Ok(self.set_faults(request).await);
        }
        Ok(self.serve(request).await)
    }
}

fn refusal(status: u16) -> Response {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    text_reply(status, "a fault was asked for")
}

fn spoil(response: Response, fault: AnswerFault) -> Response {
    let status = response.status();
    match fault {
        AnswerFault::None => response,
        AnswerFault::Garbage => text_reply(status, &b"\x00\xFF<html>not an answer"[..]),
        AnswerFault::Huge(length_bytes) => {
            reply(status, "application/x-amz-json-1.0", Bytes::from(vec![b' '; length_bytes]))
        }
        AnswerFault::Half => half_reply(response),
    }
}
