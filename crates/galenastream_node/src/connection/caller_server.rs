//! The HTTP interface for callers.

use std::{convert::Infallible, sync::Arc, time::Instant};

use galenastream_routing::{NotRunReason, Outcome};
use http::{HeaderValue, Method, Response, StatusCode, header};
use serde::Serialize;
use volo::service::Service;
use volo_http::{body::Body, context::ServerContext, request::Request};

use crate::{
    process::{Node, counters},
    request::{
        Refusal, Reply, RequestHead, TICKET_PATH, format_ticket, headers, json_response,
        obtain_ticket, respond, respond_refusal, route_request,
    },
};

/// The HTTP interface for callers.
#[derive(Clone)]
pub struct CallerService {
    node: Arc<Node>,
}

#[derive(Serialize)]
struct TicketDocument<'a> {
    ticket: &'a str,
}

impl CallerService {
    /// Creates the interface of a node.
    pub fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    async fn answer(&self, request: Request) -> Response<Body> {
        let request_id = self.node.next_request_id();
        let Some(_counted) = self.node.requests.enter() else {
            let refused = Reply::not_run(NotRunReason::Overloaded).with_retry_after_ms(100);
            return respond(refused, &request_id);
        };
        let (parts, body) = request.into_parts();
        let settings = self.node.settings.current();
        let head = match RequestHead::check(&parts, &settings, request_id.clone()) {
            Ok(head) => head,
            Err(refusal) => return refuse(&refusal, &request_id),
        };
        let request_id = head.request_id.clone();
        if parts.method == Method::POST && head.path == TICKET_PATH {
            return self.answer_ticket(head).await;
        }
        let mut measured = Measured::new(&head);
        let request = match head.read_body(body).await {
            Ok(request) => request,
            Err(refusal) => {
                measured.forget();
                return refuse(&refusal, &request_id);
            }
        };
        let reply = route_request(&self.node, &request).await;
        measured.finish(reply.outcome);
        log_reply(&reply, &request.head);
        respond(reply, &request_id)
    }

    async fn answer_ticket(&self, head: RequestHead) -> Response<Body> {
        if !head.divided_by_key {
            let refusal = Refusal::NoTickets { service: head.service_name };
            return refuse(&refusal, &head.request_id);
        }
        match obtain_ticket(&self.node, &head).await {
            Ok(token) => {
                let ticket = format_ticket(&token);
                let document = TicketDocument { ticket: &ticket };
                let mut response = json_response(StatusCode::OK, &document);
                if let Ok(value) = HeaderValue::from_str(&ticket) {
                    response.headers_mut().insert(headers::TICKET, value);
                }
                response
            }
            Err(reply) => respond(reply, &head.request_id),
        }
    }
}

impl Service<ServerContext, Request> for CallerService {
    type Response = Response<Body>;
    type Error = Infallible;

    async fn call(
        &self,
        _: &mut ServerContext,
        request: Request,
    ) -> Result<Response<Body>, Infallible> {
        let mut response = self.answer(request).await;
        if self.node.target.is_draining() {
            // Callers with open connections move to other nodes before this one stops.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        Ok(response)
    }
}

fn refuse(refusal: &Refusal, request_id: &str) -> Response<Body> {
    counters::request_refused(refusal.as_str());
    respond_refusal(refusal, request_id)
}

fn log_reply(reply: &Reply, head: &RequestHead) {
    log::debug!(
        event = "request_answered",
        request_id = head.request_id.as_str(),
        service = head.service_name.as_str(),
        outcome = reply.outcome.as_str();
        "answered"
    );
}

/// Measures a request. One that is dropped without an outcome was abandoned by its caller.
struct Measured {
    service: String,
    class: String,
    began_at: Instant,
    pending: bool,
}

impl Measured {
    fn new(head: &RequestHead) -> Self {
        Self {
            service: head.service_name.clone(),
            class: head.class.clone(),
            began_at: Instant::now(),
            pending: true,
        }
    }

    fn finish(&mut self, outcome: Outcome) {
        self.pending = false;
        counters::request_finished(&self.service, &self.class, outcome, self.began_at.elapsed());
    }

    fn forget(&mut self) {
        self.pending = false;
    }
}

impl Drop for Measured {
    fn drop(&mut self) {
        if self.pending {
            counters::request_cancelled();
        }
    }
}
