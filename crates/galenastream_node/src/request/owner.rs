//! Runs a request at the node beside the owner's target.

use std::sync::Arc;

use galenastream_ownership::{KeyHash, ServiceId, SettingsVersion};
use galenastream_routing::{Class, Deadline, NotRunReason, Outcome, TicketDecision, UnknownReason};
use galenastream_settings::EffectiveSettings;
use galenastream_wire::{Forward, TicketQuery, TicketReply, TicketToken};

use super::{InProgress, Reply, TicketRun, better_route, max_body_bytes, ticket_of, token_of};
use crate::{
    connection::{Order, TargetResult},
    process::{Node, StopPhase, TargetAnnouncement, boot_now, counters},
    version::NotServing,
};

/// How often an order is handed over again after a kept connection proved closed.
const MAX_STALE_CONNECTIONS: u32 = 3;

/// Runs a request at the target beside this node, if this node is entitled to.
pub async fn run_at_owner(node: &Arc<Node>, forward: Forward, deadline: Deadline) -> Reply {
    node.settings.see(SettingsVersion(forward.settings_version), None);
    if !node.settings.wait_until_current().await {
        return refuse(node, &forward, NotRunReason::SettingsBehind);
    }
    if ServiceId(forward.service) != node.bootstrap.service_id() {
        return Reply::not_run(NotRunReason::NotOwner);
    }
    let settings = node.settings.current();
    let service = settings.service_or_root(node.bootstrap.service_id());
    if !service.divided_by_key {
        return run_undivided(node, &forward, deadline).await;
    }
    let hash = KeyHash::of(&forward.key);
    match node.serving.enter(hash) {
        // Nobody took the slice over while the node was draining.
        Ok(_) if node.shutdown.phase() == StopPhase::Finishing => {
            Reply::not_run(NotRunReason::Draining)
        }
        Ok(in_progress) => run_divided(node, &forward, deadline, in_progress).await,
        Err(refusal) => not_serving(node, hash, refusal),
    }
}

/// Issues a ticket for a key, if this node holds it.
pub fn issue_ticket(node: &Node, query: &TicketQuery) -> TicketReply {
    let service = ServiceId(query.service);
    if service != node.bootstrap.service_id() {
        return TicketReply { ticket: None, route: None };
    }
    let hash = KeyHash::of(&query.key);
    match node.serving.enter(hash) {
        Ok(in_progress) => {
            let ticket = node.tickets.issue(in_progress.id());
            TicketReply { ticket: Some(token_of(service, ticket)), route: None }
        }
        Err(_) => TicketReply { ticket: None, route: better_route(node, hash) },
    }
}

fn not_serving(node: &Node, hash: KeyHash, refusal: NotServing) -> Reply {
    let reason = match refusal {
        NotServing::NotHeld => NotRunReason::NotOwner,
        NotServing::Stopping => NotRunReason::Moving,
    };
    Reply::not_run(reason).with_route(better_route(node, hash))
}

fn refuse(node: &Node, forward: &Forward, reason: NotRunReason) -> Reply {
    let settings = node.settings.current();
    let service = ServiceId(forward.service);
    counters::shed(&node.bootstrap.service, &forward.class, reason);
    let retry_after_ms = settings.service_or_root(service).retry_after_ms;
    Reply::not_run(reason).with_retry_after_ms(retry_after_ms)
}

async fn run_divided(
    node: &Arc<Node>,
    forward: &Forward,
    deadline: Deadline,
    in_progress: InProgress,
) -> Reply {
    let Some(token) = forward.ticket else {
        return hand_over(node, forward, deadline, Some(in_progress), None).await;
    };
    let ticket = ticket_of(&token);
    match node.tickets.begin(in_progress.id(), ticket) {
        TicketDecision::Run => {
            let run = TicketRun::new(&node.tickets, ticket);
            let ticket = Some((token, run));
            hand_over(node, forward, deadline, Some(in_progress), ticket).await
        }
        TicketDecision::Answered(reply) => Reply::clone(&reply),
        TicketDecision::InProgress => Reply::unknown(UnknownReason::InProgress),
        TicketDecision::Unknown => Reply::unknown(UnknownReason::TicketExpired),
        TicketDecision::NeverIssued => Reply::not_run(NotRunReason::Invalid),
    }
}

async fn run_undivided(node: &Arc<Node>, forward: &Forward, deadline: Deadline) -> Reply {
    if node.target.is_draining() {
        // Another member takes it at once, so nobody needs to come back later.
        return Reply::not_run(NotRunReason::Draining);
    }
    hand_over(node, forward, deadline, None, None).await
}

async fn hand_over(
    node: &Arc<Node>,
    forward: &Forward,
    deadline: Deadline,
    in_progress: Option<InProgress>,
    ticket: Option<(TicketToken, TicketRun<'_>)>,
) -> Reply {
    let mut work = Work { in_progress, ticket };
    let mut reply = work.admit_and_run(node, forward, deadline).await;
    reply.ticket = forward.ticket;
    work.finish(&reply);
    reply
}

/// The class of a request; the lowest one if the settings no longer name it.
fn class_of(settings: &EffectiveSettings, name: &str) -> Class {
    let position = settings.classes.iter().position(|class| class.name == name);
    let index = position.and_then(|it| u16::try_from(it).ok()).unwrap_or(u16::MAX);
    Class::new(index, settings.class(name).map_or(0, |class| class.priority))
}

/// A request that holds its place on the slice and its ticket.
struct Work<'a> {
    in_progress: Option<InProgress>,
    ticket: Option<(TicketToken, TicketRun<'a>)>,
}

impl Work<'_> {
    async fn admit_and_run(
        &mut self,
        node: &Arc<Node>,
        forward: &Forward,
        deadline: Deadline,
    ) -> Reply {
        let Some(target) = node.target.current() else {
            return refuse(node, forward, NotRunReason::TargetUnavailable);
        };
        let settings = node.settings.current();
        let service = settings.service_or_root(node.bootstrap.service_id());
        let class = class_of(service, &forward.class);
        let mut slot = match node.admission.admit(class, deadline).await {
            Ok(slot) => slot,
            Err(refusal) => {
                return refuse(node, forward, NotRunReason::Overloaded)
                    .with_retry_after_ms(refusal.retry_after_ms);
            }
        };
        if let Some(refused) = node.target_breaker.refusal() {
            return refused;
        }
        let began_at = boot_now();
        let reply = self.run(node, forward, deadline, &target).await;
        node.target_breaker.record(reply.outcome, began_at);
        if let Some(in_progress) = &self.in_progress {
            let busy = boot_now().saturating_since(began_at);
            in_progress.record_busy(KeyHash::of(&forward.key), busy);
        }
        if reply.outcome == Outcome::Ran {
            slot.answered();
        }
        reply
    }

    async fn run(
        &mut self,
        node: &Arc<Node>,
        forward: &Forward,
        deadline: Deadline,
        target: &TargetAnnouncement,
    ) -> Reply {
        for _ in 0..MAX_STALE_CONNECTIONS {
            // The lease is checked right before each hand-over.
            let order = match self.order(node, forward, deadline) {
                Ok(order) => order,
                Err(reason) => return refuse(node, forward, reason),
            };
            if let Some(in_progress) = &mut self.in_progress {
                in_progress.hand_over(order.deadline);
            }
            if let Some((_, run)) = &mut self.ticket {
                run.hand_over();
            }
            match node.target_client.send(target, &order).await {
                TargetResult::Reply(reply) => return reply,
                TargetResult::Unreachable => {
                    node.target_lost("connection-refused");
                    return refuse(node, forward, NotRunReason::TargetUnavailable);
                }
                TargetResult::Stale => {}
            }
        }
        refuse(node, forward, NotRunReason::TargetUnavailable)
    }

    fn order<'f>(
        &self,
        node: &Node,
        forward: &'f Forward,
        deadline: Deadline,
    ) -> Result<Order<'f>, NotRunReason> {
        let now = boot_now();
        let mut assignment = None;
        let mut order_deadline = deadline;
        if let Some(in_progress) = &self.in_progress {
            let id = in_progress.id();
            let (lease_end, term) = node.serving.lease(id).ok_or(NotRunReason::NotOwner)?;
            if now >= lease_end {
                return Err(NotRunReason::NotOwner);
            }
            order_deadline = deadline.no_later_than(lease_end);
            assignment = Some((id, term));
        }
        if order_deadline.has_passed(now) {
            return Err(NotRunReason::DeadlinePassed);
        }
        let settings = node.settings.current();
        let service = settings.service_or_root(node.bootstrap.service_id());
        Ok(Order {
            forward,
            assignment,
            ticket: self.ticket.as_ref().map(|(token, _)| *token),
            deadline: order_deadline.at(),
            max_body_bytes: max_body_bytes(service),
        })
    }

    fn finish(self, reply: &Reply) {
        if let Some((_, run)) = self.ticket {
            run.finish(reply);
        }
        let Some(in_progress) = self.in_progress else {
            return;
        };
        match reply.outcome {
            Outcome::Ran | Outcome::NotRun(_) => in_progress.finish(),
            // The target may still be working on it.
            Outcome::Unknown(_) => drop(in_progress),
        }
    }
}
