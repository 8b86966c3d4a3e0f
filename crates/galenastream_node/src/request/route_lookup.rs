//! Finds out who owns a position.

use std::time::Duration;

use galenastream_ownership::{CellRow, CellView, KeyHash, ServiceId, VmId};
use galenastream_routing::{Deadline, Route};
use galenastream_wire::{RouteMember, RouteQuery, RouteReply};

use crate::process::{Node, boot_now, milliseconds};

/// How long one node is waited for.
const ASK_LIMIT_MS: u32 = 100;

/// How many nodes are asked, at most.
const MAX_ASKED: usize = 3;

/// What this node knows about a position of its own cell.
pub fn answer_route(node: &Node, query: RouteQuery) -> RouteReply {
    let service = ServiceId(query.service);
    let mut reply = RouteReply { service: query.service, ..RouteReply::default() };
    if service != node.bootstrap.service_id() {
        return reply;
    }
    let view = node.view.load();
    reply.term = view.term.0;
    reply.coordinator = view.coordinator.map_or(0, |it| it.vm.bits());
    if let Some(row) = &view.row {
        fill_slice(&mut reply, row, KeyHash(query.hash));
    }
    fill_held(&mut reply, node, KeyHash(query.hash));
    reply.members = live_members(&view);
    reply
}

/// A better route for a caller that was sent to the wrong owner. Names no owner that is this node.
pub fn better_route(node: &Node, hash: KeyHash) -> Option<RouteReply> {
    let service = node.bootstrap.service_id();
    let mut reply = answer_route(node, RouteQuery { service: service.0, hash: hash.0 });
    if reply.owner == node.vm().bits() {
        reply.owner = 0;
    }
    reply.members.clear();
    Some(reply)
}

/// Asks for the route of a position, whom it is known to.
pub async fn look_up(
    node: &Node,
    service: ServiceId,
    hash: KeyHash,
    deadline: Deadline,
) -> Option<RouteReply> {
    let query = RouteQuery { service: service.0, hash: hash.0 };
    let mut asked: Vec<VmId> = Vec::new();
    let mut gone = None;
    let mut known = own_knowledge(node, query);
    if known.as_ref().is_some_and(|it| it.coordinator == node.vm().bits()) {
        return known;
    }
    let mut has_authority = false;
    while !has_authority && asked.len() < MAX_ASKED && !deadline.has_passed(boot_now()) {
        let Some(vm) = next_to_ask(node, service, known.as_ref(), gone, &asked).await else {
            break;
        };
        asked.push(vm);
        let limit = milliseconds(ASK_LIMIT_MS).min(deadline.remaining(boot_now()));
        match ask(node, vm, query, limit).await {
            Some(reply) => {
                has_authority = reply.coordinator == vm.bits() || reply.owner == vm.bits();
                merge(&mut known, reply);
            }
            None => gone = Some(vm),
        }
    }
    // Without the coordinator, the row is newer than what a node remembers of it.
    if !has_authority && let Some(reply) = from_row(node, query, gone).await {
        merge(&mut known, reply);
    }
    let coordinator = known.as_ref().map_or(0, |it| it.coordinator);
    let coordinator = (coordinator != 0).then(|| VmId::from_bits(coordinator));
    let coordinator = coordinator.filter(|it| Some(*it) != gone);
    node.directory.learn_coordinator(service, coordinator).await;
    known
}

/// Takes the route of a reply into the cache.
pub fn learn(node: &Node, reply: &RouteReply) -> Option<Route> {
    node.routes.learn_reply(reply)
}

async fn ask(node: &Node, vm: VmId, query: RouteQuery, limit: Duration) -> Option<RouteReply> {
    node.peers.route(vm, query, limit).await.ok()
}

fn own_knowledge(node: &Node, query: RouteQuery) -> Option<RouteReply> {
    if query.service != node.bootstrap.service_id().0 {
        return None;
    }
    Some(answer_route(node, query))
}

/// Adds what a reply knows: the coordinator of the higher term, the owner of the higher epoch.
fn merge(known: &mut Option<RouteReply>, reply: RouteReply) {
    let Some(best) = known else {
        *known = Some(reply);
        return;
    };
    if reply.term >= best.term && reply.coordinator != 0 {
        best.term = reply.term;
        best.coordinator = reply.coordinator;
        best.members = reply.members;
    }
    if reply.epoch >= best.epoch && reply.owner != 0 {
        best.first = reply.first;
        best.last = reply.last;
        best.epoch = reply.epoch;
        best.owner = reply.owner;
    }
}

/// The coordinator that was named last, then the one in the row, then the owners in the row.
async fn next_to_ask(
    node: &Node,
    service: ServiceId,
    best: Option<&RouteReply>,
    gone: Option<VmId>,
    asked: &[VmId],
) -> Option<VmId> {
    let own = node.vm();
    let is_new = |vm: &VmId| *vm != own && !asked.contains(vm);
    let named = best.map(|it| VmId::from_bits(it.coordinator)).filter(|it| it.bits() != 0);
    if let Some(vm) = named.filter(is_new) {
        return Some(vm);
    }
    if let Some(vm) = node.directory.coordinator(service).await.filter(is_new) {
        return Some(vm);
    }
    let row = node.directory.row(service, gone).await?;
    let coordinator = Some(row.coordinator.vm).filter(is_new);
    let mut owners = row.slices.iter().filter_map(|slice| slice.owner).map(|owner| owner.vm);
    coordinator.or_else(|| owners.find(is_new))
}

async fn from_row(node: &Node, query: RouteQuery, gone: Option<VmId>) -> Option<RouteReply> {
    let row = node.directory.row(ServiceId(query.service), gone).await?;
    let mut reply = RouteReply {
        service: query.service,
        term: row.term.0,
        coordinator: row.coordinator.vm.bits(),
        ..RouteReply::default()
    };
    fill_slice(&mut reply, &row, KeyHash(query.hash));
    Some(reply)
}

fn fill_slice(reply: &mut RouteReply, row: &CellRow, hash: KeyHash) {
    let after = row.slices.partition_point(|it| it.first <= hash);
    let Some(index) = after.checked_sub(1) else {
        return;
    };
    let slice = row.slices[index];
    reply.first = slice.first.0;
    reply.last = row.last_position(index).0;
    reply.epoch = slice.epoch.0;
    reply.owner = slice.owner.map_or(0, |it| it.vm.bits());
}

/// An owner knows its own slices better than any row does.
fn fill_held(reply: &mut RouteReply, node: &Node, hash: KeyHash) {
    let serving = node.serving.current();
    let Some(slice) = serving.held().serving(hash, boot_now()) else {
        return;
    };
    reply.first = slice.first.0;
    reply.last = slice.last.0;
    reply.epoch = slice.id.epoch.0;
    reply.owner = node.vm().bits();
}

fn live_members(view: &CellView) -> Vec<RouteMember> {
    let mut members = Vec::new();
    for member in &view.members {
        if member.draining || member.slots == 0 {
            continue;
        }
        members.push(RouteMember { vm: member.member.vm.bits(), slots: member.slots });
    }
    members
}
