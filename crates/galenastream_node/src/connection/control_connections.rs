//! Servers for the control calls of the target, the operators' pages and the platform's health
//! checks.

use std::sync::{Arc, atomic::Ordering};

use bytes::Bytes;
use galenastream_adapter::{ControlCall, READY_PATH};
use galenastream_routing::PortClients;
use galenastream_runtime::{ConnectionSlots, limit_queues};
use http::{HeaderValue, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::{net::TcpListener, sync::oneshot};

use super::accept::{accept_all, serve_http};
use crate::{
    process::{
        ConnectionLimits, ControlEvent, HeartbeatAnswer, NodeContext, STATUS_PATH, TrafficState,
        render_metrics,
    },
    request::{EXPLAIN_PATH, explain_request},
};

/// Maximum size of a heartbeat. One with a few hundred ranges is far smaller.
const MAX_HEARTBEAT_BYTES: usize = 256 * 1024;

const METRICS_PATH: &str = "/metrics";

/// Serves the heartbeats and deregistrations of the target until the process ends.
pub async fn serve_control(context: Arc<NodeContext>, listener: TcpListener) {
    let limits = ConnectionLimits::new(context.settings.load().limits);
    let slots = ConnectionSlots::new("control", PortClients::Any, limits.control);
    limit_queues(&listener);
    accept_all(listener, &slots, |stream, slot| {
        let context = context.clone();
        let counted = context.heartbeat_connections.count();
        tokio::spawn(async move {
            let answer = |request| {
                let context = context.clone();
                async move { answer_control(&context, request).await }
            };
            serve_http(stream, &slot, answer).await;
            drop(counted);
        });
    })
    .await;
}

/// Serves the metrics, the status page and explanations of requests until the process ends.
pub async fn serve_operators(traffic: Arc<TrafficState>, listener: TcpListener) {
    let limits = ConnectionLimits::new(traffic.context.settings.load().limits);
    let slots = ConnectionSlots::new("operators", PortClients::Any, limits.operators);
    limit_queues(&listener);
    accept_all(listener, &slots, |stream, slot| {
        let traffic = traffic.clone();
        tokio::spawn(async move {
            let answer = |request: Request<Incoming>| {
                let response = answer_operator(&traffic, request.uri());
                async move { response }
            };
            serve_http(stream, &slot, answer).await;
        });
    })
    .await;
}

fn answer_operator(traffic: &Arc<TrafficState>, uri: &Uri) -> Response<Full<Bytes>> {
    let context = &traffic.context;
    match uri.path() {
        METRICS_PATH => plain_text(StatusCode::OK, &render_metrics()),
        STATUS_PATH => match context.status_page.load().as_deref().map(serde_json::to_vec) {
            Some(Ok(page)) => json_response(Bytes::from(page)),
            Some(Err(error)) => plain_text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
            None => plain_text(StatusCode::SERVICE_UNAVAILABLE, "the node has just started"),
        },
        EXPLAIN_PATH => match explain_request(traffic, uri.query().unwrap_or_default()) {
            Ok(explanation) => match serde_json::to_vec(&explanation) {
                Ok(page) => json_response(Bytes::from(page)),
                Err(error) => plain_text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
            },
            Err(error) => plain_text(StatusCode::BAD_REQUEST, &error),
        },
        _ => plain_text(StatusCode::NOT_FOUND, "no such page"),
    }
}

/// Serves health checks until the process ends.
pub async fn serve_health(context: Arc<NodeContext>, listener: TcpListener) {
    let limits = ConnectionLimits::new(context.settings.load().limits);
    let slots = ConnectionSlots::new("health", PortClients::Any, limits.health);
    limit_queues(&listener);
    accept_all(listener, &slots, |stream, slot| {
        let context = context.clone();
        tokio::spawn(async move {
            let answer = |request| {
                let response = answer_health(&context, &request);
                async move { response }
            };
            serve_http(stream, &slot, answer).await;
        });
    })
    .await;
}

fn answer_health(context: &NodeContext, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    if request.uri().path() != READY_PATH {
        return plain_text(StatusCode::NOT_FOUND, "no such page");
    }
    if context.is_closing.load(Ordering::Relaxed) {
        return plain_text(StatusCode::SERVICE_UNAVAILABLE, "the node is about to stop");
    }
    let page = context.status_page.load();
    let refused = page.as_ref().and_then(|it| it.config_refused.as_ref());
    if context.routing.load().is_none() {
        let text = match refused {
            Some(refused) => format!("the newest config is refused: {}", refused.reason),
            None => "the node has no config yet".to_owned(),
        };
        return plain_text(StatusCode::SERVICE_UNAVAILABLE, &text);
    }
    // The node serves what the config in force allows.
    if let Some(refused) = refused {
        let text = format!("ready; the newest config is refused: {}", refused.reason);
        return plain_text(StatusCode::OK, &text);
    }
    // The node serves other services all the same.
    let target = page.as_ref().and_then(|it| it.target.as_ref());
    match target.and_then(|it| it.leases_withheld.as_ref()) {
        Some(reason) => {
            plain_text(StatusCode::OK, &format!("ready; the target gets no keys: {reason}"))
        }
        None => plain_text(StatusCode::OK, "ready"),
    }
}

async fn answer_control(
    context: &NodeContext,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (parts, body) = request.into_parts();
    let (answer, answered) = oneshot::channel();
    let event = match ControlCall::parse(&parts.method, parts.uri.path()) {
        Some(ControlCall::Heartbeat { target_id }) => {
            let Ok(body) = Limited::new(body, MAX_HEARTBEAT_BYTES).collect().await else {
                return plain_text(
                    StatusCode::BAD_REQUEST,
                    "the heartbeat is too long or incomplete",
                );
            };
            let body = body.to_bytes();
            ControlEvent::Heartbeat { target_id: target_id.to_owned(), body, answer }
        }
        Some(ControlCall::Deregister { target_id }) => {
            ControlEvent::Deregister { target_id: target_id.to_owned(), answer }
        }
        None => return plain_text(StatusCode::NOT_FOUND, "no such call"),
    };
    context.control_events.send(event).await;
    match answered.await {
        Ok(HeartbeatAnswer::Reply(reply)) => json_response(Bytes::from(reply.encode())),
        Ok(HeartbeatAnswer::Refused { reason }) => plain_text(StatusCode::BAD_REQUEST, &reason),
        Err(_) => plain_text(StatusCode::SERVICE_UNAVAILABLE, "the node is about to stop"),
    }
}

fn json_response(body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

fn plain_text(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}
