//! Takes a request in from a caller and routes it to the owner of its key.

use std::sync::Arc;

use galenastream_ownership::{KeyHash, ServiceId, SettingsVersion, VmId};
use galenastream_routing::{
    Candidate, NotRunReason, Outcome, RetryDecision, RetryPolicy, Route, Try, UnknownReason,
};
use galenastream_wire::{RouteMember, TicketQuery, TicketReply, TicketToken};
use tokio::time::sleep;

use super::{CallerRequest, Reply, RequestHead, issue_ticket, learn, look_up, run_at_owner};
use crate::{
    connection::PeerError,
    process::{MemberTable, Node, boot_now, counters, route_of},
};

/// The most tries of one request. With the waits between them they span about 130 ms, longer than
/// a planned move and shorter than the replacement of a lost owner.
const MAX_TRIES: u32 = 10;

/// How many better routes are followed at once within one try.
const MAX_REDIRECTS: u32 = 3;

/// Routes a request until it has a final reply.
pub async fn route_request(node: &Arc<Node>, request: &CallerRequest) -> Reply {
    node.retries.add_request();
    let policy = retry_policy(&request.head);
    let mut number = 0;
    loop {
        number += 1;
        let reply = try_once(node, request).await;
        let tried = Try {
            number,
            outcome: reply.outcome,
            idempotent: request.head.idempotent,
            retry_after_ms: reply.retry_after_ms,
        };
        if reply.outcome == Outcome::Ran {
            return reply;
        }
        match node.retries.decide(&policy, request.head.deadline, tried) {
            RetryDecision::Retry { after } => {
                counters::retried(&request.head.service_name, reply.outcome);
                sleep(after).await;
            }
            RetryDecision::GiveUp { retry_after_ms } => {
                return reply.with_retry_after_ms(retry_after_ms);
            }
        }
    }
}

/// Obtains a ticket from the owner of a key.
pub async fn obtain_ticket(node: &Arc<Node>, head: &RequestHead) -> Result<TicketToken, Reply> {
    let policy = retry_policy(head);
    let mut number = 0;
    loop {
        number += 1;
        let reason = match try_ticket(node, head).await {
            Ok(token) => return Ok(token),
            Err(reason) => reason,
        };
        let outcome = Outcome::NotRun(reason);
        let tried = Try { number, outcome, idempotent: true, retry_after_ms: 0 };
        match node.retries.decide(&policy, head.deadline, tried) {
            RetryDecision::Retry { after } => sleep(after).await,
            RetryDecision::GiveUp { retry_after_ms } => {
                return Err(Reply::not_run(reason).with_retry_after_ms(retry_after_ms));
            }
        }
    }
}

fn retry_policy(head: &RequestHead) -> RetryPolicy {
    RetryPolicy {
        max_tries: MAX_TRIES,
        retry_after_ms: head.retry_after_ms,
        ..RetryPolicy::default()
    }
}

async fn try_once(node: &Arc<Node>, request: &CallerRequest) -> Reply {
    if !node.settings.wait_until_current().await {
        return Reply::not_run(NotRunReason::SettingsBehind);
    }
    if !request.head.divided_by_key {
        return try_member(node, request).await;
    }
    let mut followed = 0;
    loop {
        let route = match find_route(node, &request.head).await {
            Ok(route) => route,
            Err(reason) => return Reply::not_run(reason),
        };
        let reply = send(node, request, route.owner).await;
        let Some(better) = follow_reply(node, &request.head, route, &reply) else {
            return reply;
        };
        followed += 1;
        if followed > MAX_REDIRECTS || better.owner == route.owner {
            return reply;
        }
    }
}

/// The route of a key: this node's own lease, then the cache, then other nodes.
async fn find_route(node: &Node, head: &RequestHead) -> Result<Route, NotRunReason> {
    let hash = head.hash();
    if head.service == node.bootstrap.service_id() && node.serving.serves(hash, boot_now()) {
        return Ok(own_route(node, hash));
    }
    if let Some(route) = node.routes.find(head.service, hash).filter(|it| it.owner != node.vm()) {
        return Ok(route);
    }
    let reply = look_up(node, head.service, hash, head.deadline).await;
    let reply = reply.ok_or(NotRunReason::NoRoute)?;
    learn(node, &reply);
    // A cell whose term or owner is changing has an answer within milliseconds.
    route_of(&reply).ok_or(if reply.term > 0 {
        NotRunReason::Moving
    } else {
        NotRunReason::NoRoute
    })
}

fn own_route(node: &Node, hash: KeyHash) -> Route {
    let epoch = galenastream_ownership::Epoch(0);
    Route { first: hash, last: hash, epoch, owner: node.vm() }
}

/// Learns from a reply. Returns a better route that is worth following at once.
fn follow_reply(node: &Node, head: &RequestHead, used: Route, reply: &Reply) -> Option<Route> {
    match reply.outcome {
        Outcome::NotRun(NotRunReason::NotOwner | NotRunReason::Moving) => {}
        Outcome::NotRun(NotRunReason::PeerUnavailable) => {
            node.routes.forget_vm(used.owner);
            return None;
        }
        Outcome::Unknown(_) => {
            node.routes.forget(head.service, used);
            return None;
        }
        Outcome::Ran | Outcome::NotRun(_) => return None,
    }
    node.routes.forget(head.service, used);
    let better = reply.route.as_ref().and_then(|it| learn(node, it))?;
    let is_newer = better.epoch > used.epoch && better.owner != used.owner;
    is_newer.then_some(better)
}

async fn send(node: &Arc<Node>, request: &CallerRequest, owner: VmId) -> Reply {
    let forward = request.forward(node.settings.version().0);
    let deadline = request.head.deadline;
    if owner == node.vm() {
        return run_at_owner(node, forward, deadline).await.with_owner(owner);
    }
    let remaining = deadline.remaining(boot_now());
    match node.peers.forward(owner, forward, remaining).await {
        Ok(answer) => {
            node.settings.see(SettingsVersion(answer.settings_version), Some(owner));
            Reply::from_answer(answer)
        }
        Err(error) => reply_of(error).with_owner(owner),
    }
}

fn reply_of(error: PeerError) -> Reply {
    match error {
        PeerError::NotSent | PeerError::Unreachable => {
            Reply::not_run(NotRunReason::PeerUnavailable)
        }
        PeerError::Blocked { retry_after_ms } => {
            Reply::not_run(NotRunReason::PeerUnavailable).with_retry_after_ms(retry_after_ms)
        }
        PeerError::QueueFull => Reply::not_run(NotRunReason::Overloaded),
        PeerError::TimedOut => Reply::unknown(UnknownReason::DeadlinePassed),
        PeerError::Lost | PeerError::Unexpected => Reply::unknown(UnknownReason::PeerLost),
    }
}

async fn try_member(node: &Arc<Node>, request: &CallerRequest) -> Reply {
    let Some(owner) = choose_member(node, &request.head).await else {
        return Reply::not_run(NotRunReason::NoRoute);
    };
    let counted = MemberTable::begin(&node.members, request.head.service, owner);
    let reply = send(node, request, owner).await;
    drop(counted);
    if !matches!(reply.outcome, Outcome::Ran) {
        node.members.forget(request.head.service, owner);
    }
    reply
}

async fn choose_member(node: &Node, head: &RequestHead) -> Option<VmId> {
    if !node.members.is_current(head.service) {
        learn_members(node, head).await;
    }
    node.members.choose(head.service).or_else(|| own_target(node, head.service))
}

/// This node's own VM, if its target belongs to the service: better than no member at all.
fn own_target(node: &Node, service: ServiceId) -> Option<VmId> {
    let is_own = service == node.bootstrap.service_id();
    (is_own && node.target.current().is_some()).then(|| node.vm())
}

async fn learn_members(node: &Node, head: &RequestHead) {
    let Some(reply) = look_up(node, head.service, KeyHash::MIN, head.deadline).await else {
        return;
    };
    let candidates: Vec<Candidate> = reply.members.iter().filter_map(candidate).collect();
    node.members.learn(head.service, candidates);
}

fn candidate(member: &RouteMember) -> Option<Candidate> {
    (member.vm != 0).then(|| Candidate { vm: VmId::from_bits(member.vm), slots: member.slots })
}

async fn try_ticket(node: &Arc<Node>, head: &RequestHead) -> Result<TicketToken, NotRunReason> {
    let query = TicketQuery { service: head.service.0, key: head.key.clone() };
    for _ in 0..=MAX_REDIRECTS {
        let route = find_route(node, head).await?;
        let reply = ask_ticket(node, head, &query, route.owner).await;
        let Ok(reply) = reply else {
            node.routes.forget_vm(route.owner);
            return Err(NotRunReason::PeerUnavailable);
        };
        if let Some(token) = reply.ticket {
            return Ok(token);
        }
        node.routes.forget(head.service, route);
        let better = reply.route.as_ref().and_then(|it| learn(node, it));
        if better.is_none_or(|it| it.owner == route.owner) {
            break;
        }
    }
    Err(NotRunReason::Moving)
}

async fn ask_ticket(
    node: &Node,
    head: &RequestHead,
    query: &TicketQuery,
    owner: VmId,
) -> Result<TicketReply, PeerError> {
    if owner == node.vm() {
        return Ok(issue_ticket(node, query));
    }
    let remaining = head.deadline.remaining(boot_now());
    node.peers.ticket(owner, query.clone(), remaining).await
}
