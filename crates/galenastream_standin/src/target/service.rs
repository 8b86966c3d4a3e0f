//! The HTTP interface of a target.

use std::{convert::Infallible, sync::Arc};

use http::{Method, StatusCode};
use serde::Serialize;
use volo::Service;
use volo_http::{context::ServerContext, request::Request, response::Response};

use super::{
    TargetFaults, announcer::Announcer, order::Order, order_run::OrderRun, state::TargetState,
};
use crate::{json_reply, read_body, read_json, text_reply};

/// Orders carry this header, so their paths are never taken for the target's own.
const ORDER_HEADER: &str = "galenastream-request-id";

/// The HTTP interface of a target.
#[derive(Debug, Clone)]
pub(crate) struct TargetService {
    pub state: Arc<TargetState>,
    pub announcer: Option<Arc<Announcer>>,
}

#[derive(Debug, Serialize)]
struct HealthAnswer {
    status: String,
}

#[derive(Debug, Serialize)]
struct LoadAnswer {
    slots: u32,
    busy_slots: u32,
    queued: u32,
}

impl TargetService {
    async fn own_path(&self, request: Request) -> Response {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        match (method, path.as_str()) {
            (Method::GET, "/health") => self.health().await,
            (Method::GET, "/load") => self.load().await,
            (Method::POST, "/standin/faults") => self.set_faults(request).await,
            (Method::POST, "/standin/drain") => self.drain().await,
            _ => self.order(request).await,
        }
    }

    async fn order(&self, request: Request) -> Response {
        let (parts, body) = request.into_parts();
        let order = Order::read(&parts);
        if read_body(Request::from_parts(parts, body)).await.is_none() {
            return text_reply(StatusCode::BAD_REQUEST, "the body was cut off");
        }
        OrderRun::new(Arc::clone(&self.state), order).finish().await
    }

    async fn health(&self) -> Response {
        let lie = self.state.faults.current().lie_health;
        if lie.is_none() {
            self.state.faults.thaw().await;
        }
        let status = lie.unwrap_or_else(|| "ok".to_owned());
        json_reply(StatusCode::OK, &HealthAnswer { status })
    }

    async fn load(&self) -> Response {
        if self.state.faults.current().lie_busy_slots.is_none() {
            self.state.faults.thaw().await;
        }
        let load = self.state.reported_load();
        let answer = LoadAnswer {
            slots: self.state.config.slots,
            busy_slots: load.busy_slots,
            queued: load.queued,
        };
        json_reply(StatusCode::OK, &answer)
    }

    async fn set_faults(&self, request: Request) -> Response {
        match read_json::<TargetFaults>(request).await {
            Ok(faults) => {
                self.state.faults.set(faults);
                text_reply(StatusCode::OK, "set")
            }
            Err(error) => text_reply(StatusCode::BAD_REQUEST, error),
        }
    }

    async fn drain(&self) -> Response {
        let Some(announcer) = &self.announcer else {
            return text_reply(StatusCode::CONFLICT, "this target runs without a node");
        };
        match announcer.drain().await {
            Ok(()) => text_reply(StatusCode::OK, "draining"),
            Err(error) => text_reply(StatusCode::BAD_GATEWAY, error.to_string()),
        }
    }
}

impl Service<ServerContext, Request> for TargetService {
    type Response = Response;
    type Error = Infallible;

    async fn call(
        &self,
        _context: &mut ServerContext,
        request: Request,
    ) -> Result<Response, Infallible> {
        if request.headers().contains_key(ORDER_HEADER) {
            return Ok(self.order(request).await);
        }
        Ok(self.own_path(request).await)
    }
}
