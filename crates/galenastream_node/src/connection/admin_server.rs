//! The HTTP interface for the target, operators and monitoring.

use std::{sync::Arc, time::Duration};

use galenastream_ownership::{CellId, Event, KeyHash, ServiceId, VmId};
use galenastream_routing::Deadline;
use http::{Method, Response, StatusCode, Uri};
use serde::{Deserialize, Serialize};
use volo_http::{
    body::Body,
    server::{
        extract::Query,
        route::{Router, get, post},
    },
};

use super::{
    AcceptedDocument, CellsDocument, ErrorDocument, HealthDocument, MoveOrder, OwnerDocument,
    TakeoverOrder, TargetsDocument, format_position,
};
use crate::{
    process::{Node, Readiness, TargetAnnouncement, boot_now},
    request::{json_response, look_up},
};

/// How long the owner of a key is looked up.
const LOOK_UP_LIMIT_MS: u32 = 1_000;

/// How often the histograms are brought up to date.
pub const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

#[derive(Debug, Deserialize)]
struct OwnerQuery {
    service: String,
    key: String,
}

/// The routes of the admin interface.
pub fn admin_router(node: &Arc<Node>) -> Router {
    let router = health_routes(Router::new(), node);
    let router = target_routes(router, node);
    operator_routes(router, node)
}

fn health_routes(router: Router, node: &Arc<Node>) -> Router {
    let (live, ready, metrics) = (node.clone(), node.clone(), node.clone());
    router
        .route("/health/live", get(move || async move { health(&live, StatusCode::OK, "live") }))
        .route("/health/ready", get(move || async move { readiness(&ready) }))
        .route("/metrics", get(move || async move { metrics.metrics.render() }))
}

fn target_routes(router: Router, node: &Arc<Node>) -> Router {
    let (announcing, draining) = (node.clone(), node.clone());
    router
        .route(
            "/target/announce",
            post(move |body: String| async move { announce(&announcing, &body) }),
        )
        .route("/target/drain", post(move || async move { drain(&draining, "target") }))
}

fn operator_routes(router: Router, node: &Arc<Node>) -> Router {
    let (cells, owners, targets) = (node.clone(), node.clone(), node.clone());
    let (draining, moving, taking) = (node.clone(), node.clone(), node.clone());
    router
        .route("/admin/cells", get(move || async move { ok(&CellsDocument::of(&cells)) }))
        .route("/admin/targets", get(move || async move { ok(&TargetsDocument::of(&targets)) }))
        .route(
            "/admin/owner",
            get(move |query: Result<Query<OwnerQuery>, _>| async move {
                owner(&owners, query.ok()).await
            }),
        )
        .route("/admin/drain", post(move || async move { drain(&draining, "operator") }))
        .route("/admin/move", post(move |body: String| async move { move_slice(&moving, &body) }))
        .route("/admin/takeover", post(move |body: String| async move { takeover(&taking, &body) }))
        .fallback(|method: Method, uri: Uri| async move { not_found(&method, &uri) })
}

fn readiness(node: &Node) -> Response<Body> {
    match node.readiness() {
        Readiness::Ready => health(node, StatusCode::OK, "ready"),
        other => health(node, StatusCode::SERVICE_UNAVAILABLE, other.as_str()),
    }
}

fn health(node: &Node, status: StatusCode, word: &str) -> Response<Body> {
    let settings_version = node.settings.version().0;
    json_response(status, &HealthDocument { status: word.to_owned(), settings_version })
}

fn announce(node: &Node, body: &str) -> Response<Body> {
    let announcement: TargetAnnouncement = match serde_json::from_str(body) {
        Ok(announcement) => announcement,
        Err(cause) => return unreadable(&cause),
    };
    if announcement.service != node.bootstrap.service {
        return error(
            StatusCode::CONFLICT,
            format!(
                "the target belongs to service \"{}\", this node to \"{}\"",
                announcement.service, node.bootstrap.service
            ),
            "start the target beside a node of its own service",
        );
    }
    node.target_announced(announcement);
    ok(&AcceptedDocument { accepted: true })
}

fn drain(node: &Node, reason: &'static str) -> Response<Body> {
    node.begin_drain(reason);
    ok(&AcceptedDocument { accepted: true })
}

async fn owner(node: &Node, query: Option<Query<OwnerQuery>>) -> Response<Body> {
    let Some(Query(query)) = query else {
        return error(
            StatusCode::BAD_REQUEST,
            "the query needs `service` and `key`".to_owned(),
            "ask as in /admin/owner?service=catalogue&key=frame-1",
        );
    };
    let service = ServiceId::from_name(&query.service);
    let hash = KeyHash::of(query.key.as_bytes());
    let deadline = Deadline::new(boot_now(), LOOK_UP_LIMIT_MS);
    let Some(reply) = look_up(node, service, hash, deadline).await else {
        return error(
            StatusCode::NOT_FOUND,
            format!("service \"{}\" has no cell that is known here", query.service),
            "check the name, and that the service has targets",
        );
    };
    let address = |bits: u64| (bits != 0).then(|| VmId::from_bits(bits).address());
    let is_known = reply.epoch != 0;
    let bounds = [format_position(KeyHash(reply.first)), format_position(KeyHash(reply.last))];
    ok(&OwnerDocument {
        service: query.service,
        key: query.key,
        hash: format_position(hash),
        epoch: is_known.then_some(reply.epoch),
        slice: is_known.then_some(bounds),
        owner: address(reply.owner),
        term: reply.term,
        coordinator: address(reply.coordinator),
    })
}

fn move_slice(node: &Node, body: &str) -> Response<Body> {
    let order: MoveOrder = match serde_json::from_str(body) {
        Ok(order) => order,
        Err(cause) => return unreadable(&cause),
    };
    if let Some(refusal) = check_own_service(node, &order.service) {
        return refusal;
    }
    if let Some(refusal) = check_coordinator(node) {
        return refusal;
    }
    let hash = KeyHash::of(order.key.as_bytes());
    log::info!(event = "move_ordered", to:% = order.to; "an operator ordered a move");
    node.tell(Event::Move { cell: node.cell(), hash, to: VmId::from(order.to) });
    accepted()
}

fn takeover(node: &Node, body: &str) -> Response<Body> {
    let order: TakeoverOrder = match serde_json::from_str(body) {
        Ok(order) => order,
        Err(cause) => return unreadable(&cause),
    };
    if let Some(refusal) = check_own_service(node, &order.service) {
        return refusal;
    }
    if node.target.is_draining() {
        return error(
            StatusCode::CONFLICT,
            "this node drains and cannot become the coordinator".to_owned(),
            "send the order to a node of the service that does not drain",
        );
    }
    let cell: CellId = node.cell();
    node.tell(Event::Takeover { cell });
    accepted()
}

fn check_own_service(node: &Node, service: &str) -> Option<Response<Body>> {
    if service == node.bootstrap.service {
        return None;
    }
    Some(error(
        StatusCode::CONFLICT,
        format!("this node belongs to service \"{}\"", node.bootstrap.service),
        "send the order to a node of the service",
    ))
}

fn check_coordinator(node: &Node) -> Option<Response<Body>> {
    let coordinator = node.view.load().coordinator;
    if coordinator.is_some_and(|it| it.vm == node.vm()) {
        return None;
    }
    let named = coordinator.map_or("not known".to_owned(), |it| it.vm.to_string());
    Some(error(
        StatusCode::CONFLICT,
        format!("this node is not the cell's coordinator; the coordinator is {named}"),
        "send the order to the coordinator's node",
    ))
}

fn accepted() -> Response<Body> {
    json_response(StatusCode::ACCEPTED, &AcceptedDocument { accepted: true })
}

fn ok<T: Serialize>(document: &T) -> Response<Body> {
    json_response(StatusCode::OK, document)
}

fn unreadable(cause: &serde_json::Error) -> Response<Body> {
    error(
        StatusCode::BAD_REQUEST,
        format!("the body cannot be read: {cause}"),
        "send a JSON object with the fields that the interface page lists",
    )
}

fn error(status: StatusCode, error: String, remedy: &str) -> Response<Body> {
    json_response(status, &ErrorDocument { error, remedy: remedy.to_owned() })
}

fn not_found(method: &Method, uri: &Uri) -> Response<Body> {
    error(
        StatusCode::NOT_FOUND,
        format!("nothing answers {method} {}", uri.path()),
        "see the interface page for the paths of the admin address",
    )
}
