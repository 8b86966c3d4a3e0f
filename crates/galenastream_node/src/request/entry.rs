//! A request at the node where it entered.

use std::{
    sync::{Arc, Mutex, PoisonError, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use galenastream_adapter::header_names;
use galenastream_ranges::{Holding, Owner, TargetIncarnation};
use galenastream_routing::TargetCandidate;
use galenastream_runtime::{boot_now, sleep_until};
use galenastream_settings::EffectiveSettings;
use galenastream_wire::{ForwardedReply, ReplyOutcome, ReplyReason};
use http::{Request, Response};
use metrics::{counter, histogram};

use super::{
    answer::{pass_on, refuse},
    attempt::{Destination, attempt},
    caller_request::CallerRequest,
    refusal::Refusal,
};
use crate::{
    process::{CountGuard, TrafficState},
    version::RoutingTable,
};

/// How long a request waits before it looks for the owner of its key again.
const OWNER_POLL: Duration = Duration::from_millis(30);

/// A refused caller is told to come back after this part of the time that it has left. Callers do
/// not wait for longer.
const RETRY_AFTER_DIVISOR: u32 = 3;

/// The longest time after which a request comes back whose key has no owner: within it, most moves
/// are over.
const LONGEST_OWNER_RETRY_AFTER_MS: u32 = 400;

/// When to come back if there is no target at all.
const NO_TARGET_RETRY_AFTER_MS: u32 = 200;

/// The least time that is left for another try to be of use.
const LEAST_TRY_TIME: Duration = Duration::from_millis(15);

/// When to come back to a node that is about to end: its successor starts within about that.
const CLOSING_RETRY_AFTER_MS: u32 = 300;

/// Answers a request of a caller.
pub async fn answer_caller(
    traffic: &Arc<TrafficState>,
    request: Request<Bytes>,
) -> Response<Bytes> {
    let _counted = CountGuard::new(&traffic.in_progress);
    if traffic.context.is_refusing.load(Ordering::Relaxed) {
        let retry_after_ms = CLOSING_RETRY_AFTER_MS;
        return refuse(Refusal::NotRun { retry_after_ms }, request_id(&request));
    }
    let Some(routing) = traffic.context.routing.load_full() else {
        return refuse(Refusal::NoConfig, request_id(&request));
    };
    let request = match CallerRequest::read(request, &routing) {
        Ok(request) => request,
        Err((refusal, id)) => {
            counter!("galenastream_refused_total", "reason" => refusal.as_str()).increment(1);
            return refuse(refusal, &id);
        }
    };
    finish(traffic, &routing, request).await
}

fn request_id(request: &Request<Bytes>) -> &str {
    let said = request.headers().get(header_names::REQUEST_ID);
    said.and_then(|it| it.to_str().ok()).unwrap_or_default()
}

async fn finish(
    traffic: &Arc<TrafficState>,
    routing: &RoutingTable,
    request: CallerRequest,
) -> Response<Bytes> {
    let _counted = CountGuard::new(&traffic.in_progress);
    let Some(tries) = Tries::new(traffic, routing, &request) else {
        return refuse(Refusal::NoRoute, &request.id);
    };
    let result = tokio::select! {
        result = tries.run() => result,
        () = sleep_until(request.deadline.at()) => Err(Refusal::TimedOut),
    };
    tries.record(&result);
    match result {
        Ok(reply) => pass_on(reply),
        Err(refusal) => refuse(refusal, &request.id),
    }
}

/// What the tries of a request came to, for its log line.
#[derive(Debug, Default)]
struct Trace {
    tries: u32,
    target: String,
    node: String,
    reason: &'static str,
}

/// The tries of one request.
struct Tries<'a> {
    traffic: &'a Arc<TrafficState>,
    request: &'a CallerRequest,
    service: &'a str,
    /// The request's key, if the targets of the service hold keys.
    key: Option<u16>,
    settings: EffectiveSettings,
    config_version: u64,
    trace: Mutex<Trace>,
}

/// What is known after some tries.
struct Progress {
    tried: Vec<TargetIncarnation>,
    /// Tries that reached a target.
    reached: u32,
    retry_after_ms: u32,
    /// The last answer of a target, which is a failure.
    failure: Option<ForwardedReply>,
    may_have_run: bool,
}

/// What follows from a try.
enum Verdict {
    Done(Result<ForwardedReply, Refusal>),
    TryAgain,
    /// The owner of the key is about to change.
    WaitForOwner,
}

impl<'a> Tries<'a> {
    /// Chooses the service of the request; `None` if its route has none.
    fn new(
        traffic: &'a Arc<TrafficState>,
        routing: &RoutingTable,
        request: &'a CallerRequest,
    ) -> Option<Self> {
        let destinations = &request.route.destinations;
        let weights: Vec<f64> = destinations.iter().map(|it| it.weight).collect();
        let index = traffic.next_destination(&request.route.name, &weights)?;
        let service = &destinations.get(index)?.service;
        let holds_keys = routing.service(service).is_some_and(|it| it.holds_keys);
        let key = request.key.filter(|_| holds_keys);
        let settings = traffic.effective_settings(service, key);
        let (config_version, trace) = (routing.version.0, Mutex::default());
        Some(Self { traffic, request, service, key, settings, config_version, trace })
    }

    /// Counts and logs what became of the request, with what decided it.
    fn record(&self, result: &Result<ForwardedReply, Refusal>) {
        let request = self.request;
        let elapsed = boot_now().saturating_since(request.arrived_at);
        let (outcome, status) = match result {
            Ok(reply) => ("answered", reply.status),
            Err(refusal) => (refusal.as_str(), u32::from(refusal.status())),
        };
        let route = request.route.name.clone();
        counter!("galenastream_requests_total", "route" => route.clone(), "outcome" => outcome)
            .increment(1);
        histogram!("galenastream_request_seconds", "route" => route).record(elapsed.as_secs_f64());
        if !self.traffic.may_log() {
            return;
        }
        let trace = self.trace.lock().unwrap_or_else(PoisonError::into_inner);
        log::info!(
            event = "request_finished",
            request_id = request.id.as_str(),
            route = request.route.name.as_str(),
            service = self.service,
            key = self.key,
            config_version = self.config_version,
            tries = trace.tries,
            target_id = trace.target.as_str(),
            node = trace.node.as_str(),
            reason = trace.reason,
            outcome,
            status,
            elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
            ""
        );
    }

    fn note_try(&self, destination: &Destination) {
        let mut trace = self.trace.lock().unwrap_or_else(PoisonError::into_inner);
        trace.tries += 1;
        trace.target = destination.target.id.to_string();
        trace.node = destination.node.name.to_string();
        trace.reason = "waits-for-reply";
    }

    fn note_reason(&self, reason: i32) {
        let reason = ReplyReason::try_from(reason).unwrap_or(ReplyReason::None);
        self.trace.lock().unwrap_or_else(PoisonError::into_inner).reason = reason.as_str();
    }

    async fn run(&self) -> Result<ForwardedReply, Refusal> {
        let service = self.service;
        self.traffic.count_first_send(service);
        let mut progress = Progress {
            tried: Vec::new(),
            reached: 0,
            retry_after_ms: NO_TARGET_RETRY_AFTER_MS,
            failure: None,
            may_have_run: false,
        };
        loop {
            if !self.has_time() {
                return progress.give_up();
            }
            let Some(destination) = self.choose_target(&progress) else {
                if self.key.is_none() || !self.may_hold() {
                    return self.refuse_for_owner(&mut progress);
                }
                tokio::time::sleep(OWNER_POLL).await;
                continue;
            };
            self.note_try(&destination);
            let reply = attempt(self.traffic, self.request, self.key, &destination).await;
            self.note_reason(reply.reason);
            match self.judge(destination, reply, &mut progress) {
                Verdict::Done(result) => return result,
                Verdict::TryAgain => {}
                Verdict::WaitForOwner if !self.may_hold() => {
                    return self.refuse_for_owner(&mut progress);
                }
                Verdict::WaitForOwner => tokio::time::sleep(OWNER_POLL).await,
            }
        }
    }

    fn has_time(&self) -> bool {
        self.request.deadline.remaining(boot_now()) > LEAST_TRY_TIME
    }

    /// Whether the owner of the key is about to change as planned, and the request may wait for it.
    fn may_hold(&self) -> bool {
        let directory = self.traffic.context.directory.load();
        let target_latency = Duration::from_millis(self.request.route.target_latency_ms);
        let held_until =
            self.request.arrived_at + target_latency * self.settings.hold_percent / 100;
        if boot_now() >= held_until {
            return false;
        }
        let assignment = directory.assignments.get(self.service);
        let Some(entry) = self.key.and_then(|key| assignment.map(|it| it.entry_of(key))) else {
            return false;
        };
        // The node beside an owner that has ended knows it at once, and its keys are passed on.
        let is_live = |owner: &Owner| {
            let node = directory.nodes.iter().find(|it| it.name == owner.node);
            node.is_some_and(|it| it.is_reachable && !it.is_closing)
        };
        match &entry.holding {
            Holding::Owned(owner) => is_live(owner),
            Holding::Leaving { from, to: Some(to) } => is_live(from) && is_live(to),
            Holding::Leaving { .. } | Holding::Free => false,
        }
    }

    /// Gives a request up whose key has no owner that can be reached.
    fn refuse_for_owner(&self, progress: &mut Progress) -> Result<ForwardedReply, Refusal> {
        let remaining_ms = self.request.deadline.remaining_ms(boot_now());
        let retry_after_ms = remaining_ms / RETRY_AFTER_DIVISOR;
        let longest_ms = LONGEST_OWNER_RETRY_AFTER_MS.max(self.settings.retry_after_ms);
        progress.retry_after_ms = retry_after_ms.clamp(self.settings.retry_after_ms, longest_ms);
        progress.give_up()
    }

    fn choose_target(&self, progress: &Progress) -> Option<Destination> {
        let directory = self.traffic.context.directory.load();
        if let Some(key) = self.key {
            let assignment = directory.assignments.get(self.service)?;
            let holder = assignment.entry_of(key).holding.holder()?;
            let node = directory.node_of(&holder.target).filter(|it| !it.is_refusing)?;
            return Some(Destination { node: node.clone(), target: holder.target.clone() });
        }
        let settings = self.traffic.context.settings.load();
        let near = &settings.data_centre;
        let mut candidates = Vec::new();
        // Nodes that are out of reach or about to stop are used only if there is no other.
        for is_last_resort in [false, true] {
            for node in &directory.nodes {
                let Some(target) = node.target.as_ref().filter(|it| *it.service == *self.service)
                else {
                    continue;
                };
                let is_doubtful = target.is_draining || node.is_closing || !node.is_reachable;
                let is_used = progress.tried.contains(&target.incarnation) || node.is_refusing;
                if is_used || is_doubtful != is_last_resort {
                    continue;
                }
                let is_same_data_centre = *node.data_centre == **near;
                let slots = target.slots;
                candidates.push(TargetCandidate { node: node.key, slots, is_same_data_centre });
            }
            if !candidates.is_empty() {
                break;
            }
        }
        let remote_penalty = f64::from(self.settings.remote_penalty_percent) / 100.0;
        let chosen = self.traffic.placement().choose(&candidates, remote_penalty, boot_now())?;
        let node = directory.nodes.iter().find(|it| it.key == chosen)?;
        let target = node.target.as_ref()?.incarnation.clone();
        Some(Destination { node: node.clone(), target })
    }

    fn judge(
        &self,
        destination: Destination,
        reply: ForwardedReply,
        progress: &mut Progress,
    ) -> Verdict {
        let outcome = ReplyOutcome::try_from(reply.outcome).unwrap_or(ReplyOutcome::Unknown);
        match outcome {
            ReplyOutcome::Answered if reply.status < 500 || !self.request.route.is_idempotent => {
                Verdict::Done(Ok(reply))
            }
            ReplyOutcome::Answered => {
                progress.failure = Some(reply);
                self.try_elsewhere(destination, progress)
            }
            ReplyOutcome::NotSent => {
                progress.retry_after_ms = progress.retry_after_ms.min(reply.retry_after_ms.max(1));
                if self.key.is_some() && is_about_owner(reply.reason) {
                    return Verdict::WaitForOwner;
                }
                if self.key.is_some() {
                    return Verdict::Done(progress.give_up());
                }
                progress.tried.push(destination.target);
                Verdict::TryAgain
            }
            ReplyOutcome::Rejected => self.try_elsewhere(destination, progress),
            ReplyOutcome::Unknown => {
                progress.may_have_run = true;
                if reply.reason == ReplyReason::DeadlinePassed as i32 {
                    return Verdict::Done(Err(Refusal::TimedOut));
                }
                if !self.request.route.is_idempotent {
                    return Verdict::Done(progress.give_up());
                }
                self.try_elsewhere(destination, progress)
            }
        }
    }

    /// Tries another target after one was reached, within the route's limit and the budget.
    fn try_elsewhere(&self, destination: Destination, progress: &mut Progress) -> Verdict {
        progress.reached += 1;
        // The owner of a key is the only target that may be tried again.
        if self.key.is_none() {
            progress.tried.push(destination.target);
        }
        let is_allowed = progress.reached < self.request.route.max_attempts;
        if !is_allowed || !self.has_time() || !self.traffic.take_retry(self.service) {
            return Verdict::Done(progress.give_up());
        }
        counter!("galenastream_retries_total", "service" => self.service.to_owned()).increment(1);
        Verdict::TryAgain
    }
}

impl Progress {
    /// The final result if there are no more tries.
    fn give_up(&mut self) -> Result<ForwardedReply, Refusal> {
        if let Some(failure) = self.failure.take() {
            return Ok(failure);
        }
        match self.may_have_run {
            true => Err(Refusal::Lost),
            false => Err(Refusal::NotRun { retry_after_ms: self.retry_after_ms }),
        }
    }
}

/// Whether a try failed since the owner of the key is about to change.
fn is_about_owner(reason: i32) -> bool {
    let reason = ReplyReason::try_from(reason).unwrap_or(ReplyReason::None);
    matches!(
        reason,
        ReplyReason::NotOwner
            | ReplyReason::OtherTarget
            | ReplyReason::Draining
            | ReplyReason::PeerLost
            | ReplyReason::TargetUnreachable
    )
}
