//! The attempts of a request, from its first target to its result.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use galenastream_ranges::{Holding, Owner};
use galenastream_routing::{RequestFingerprint, Suspicion};
use galenastream_runtime::boot_now;
use galenastream_settings::EffectiveSettings;
use galenastream_wire::{ForwardedReply, ReplyOutcome, ReplyReason};
use metrics::{counter, histogram};

use super::{
    attempt::{Destination, attempt, expected_time, is_signed},
    caller_request::CallerRequest,
    counted_attempt::CountedAttempt,
    progress::Progress,
    refusal::Refusal,
    target_choice::TargetChoice,
};
use crate::{
    process::{NodeEntry, TrafficState},
    version::RoutingTable,
};

/// Interval at which a waiting request looks up the owner of its key again.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(30);

/// `Retry-After` of a request without an available target is the time to its deadline divided by
/// this. Callers do not wait for longer.
const UNAVAILABLE_RETRY_AFTER_DIVISOR: u32 = 3;

/// Upper bound of `Retry-After` for a request without an available target, unless the settings ask
/// for more. Most moves of keys take less.
const UNAVAILABLE_MAX_RETRY_AFTER_MS: u32 = 400;

/// Minimum remaining time for which an attempt is worth starting.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(15);

/// Summary of a request's attempts for its log line.
#[derive(Debug, Default)]
struct AttemptSummary {
    attempts: u32,
    target: String,
    node: String,
    reason: &'static str,
}

/// Runs the attempts of one request and records their result.
pub(super) struct Attempts<'a> {
    traffic: &'a Arc<TrafficState>,
    request: &'a CallerRequest,
    fingerprint: RequestFingerprint,
    service: &'a str,
    /// The request's key, if the targets of the service hold keys.
    key: Option<u16>,
    settings: EffectiveSettings,
    config_version: u64,
    summary: Mutex<AttemptSummary>,
}

/// What follows from the reply of an attempt.
enum NextStep {
    Done(Result<ForwardedReply, Refusal>),
    Retry,
    /// The attempt failed in a way that a change of the key's owner may explain.
    WaitForOwner,
}

impl<'a> Attempts<'a> {
    /// Chooses a service by the weights of the route. Returns `None` if the route has no service to
    /// choose.
    pub(super) fn new(
        traffic: &'a Arc<TrafficState>,
        routing: &RoutingTable,
        request: &'a CallerRequest,
        fingerprint: RequestFingerprint,
    ) -> Option<Self> {
        let destinations = &request.route.destinations;
        let weights: Vec<f64> = destinations.iter().map(|it| it.weight).collect();
        let index = traffic.next_destination(&request.route.name, &weights)?;
        let service = &destinations.get(index)?.service;
        let holds_keys = routing.service(service).is_some_and(|it| it.holds_keys);
        let key = request.key.filter(|_| holds_keys);
        let settings = traffic.effective_settings(service, key);
        let (config_version, summary) = (routing.version.0, Mutex::default());
        Some(Self {
            traffic,
            request,
            fingerprint,
            service,
            key,
            settings,
            config_version,
            summary,
        })
    }

    /// Records the result in the metrics and, within the budget of log lines, in the log.
    pub(super) fn record_result(&self, result: &Result<ForwardedReply, Refusal>) {
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
        self.traffic.tally().add_request(self.service, outcome, elapsed);
        if !self.traffic.may_log() {
            return;
        }
        let summary = self.summary.lock().unwrap_or_else(PoisonError::into_inner);
        log::info!(
            event = "request_finished",
            request_id = request.id.as_str(),
            route = request.route.name.as_str(),
            service = self.service,
            key = self.key,
            config_version = self.config_version,
            wait_ms = request.wait_ms,
            waited_ms = request.waited_ms,
            tries = summary.attempts,
            target_id = summary.target.as_str(),
            node = summary.node.as_str(),
            reason = summary.reason,
            outcome,
            status,
            is_signed = result.as_ref().is_ok_and(is_signed),
            elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
            ""
        );
    }

    fn record_attempt(&self, destination: &Destination) {
        let mut summary = self.summary.lock().unwrap_or_else(PoisonError::into_inner);
        summary.attempts += 1;
        summary.target = destination.target.id.to_string();
        summary.node = destination.node.name.to_string();
        summary.reason = "waits-for-reply";
    }

    fn record_reason(&self, reason: i32) -> &'static str {
        let reason = ReplyReason::try_from(reason).unwrap_or(ReplyReason::None).as_str();
        self.summary.lock().unwrap_or_else(PoisonError::into_inner).reason = reason;
        reason
    }

    /// Attempts the request until there is a final result.
    pub(super) async fn run(&self) -> Result<ForwardedReply, Refusal> {
        let service = self.service;
        self.traffic.count_first_send(service);
        let mut progress = Progress::new();
        loop {
            if !self.has_time() || self.traffic.end.cuts_off(Duration::ZERO) {
                return progress.give_up();
            }
            let suspect = match self.traffic.context.quarantine.suspicion(self.fingerprint) {
                Suspicion::None => None,
                Suspicion::Suspected => Some(self.fingerprint),
                Suspicion::Quarantined => return progress.give_up_quarantined(),
            };
            let choice = TargetChoice::new(self.traffic, self.service, self.key, self.settings)
                .with_suspect(suspect);
            let Some(destination) = choice.choose(&progress) else {
                if self.key.is_none() || !self.may_wait_for_owner() {
                    return self.give_up_without_target(&mut progress);
                }
                tokio::time::sleep(OWNER_POLL_INTERVAL).await;
                continue;
            };
            if self.is_too_late(&destination) {
                return progress.give_up();
            }
            if progress.is_retry_due && !self.begin_retry(&mut progress) {
                return progress.give_up();
            }
            self.record_attempt(&destination);
            let mut counted = CountedAttempt::new(self.traffic, self.service, &destination);
            let may_retry = || self.may_retry(&progress);
            let (traffic, request, key) = (self.traffic, self.request, self.key);
            let reply =
                attempt(traffic, request, self.fingerprint, key, &destination, may_retry).await;
            counted.reason = self.record_reason(reply.reason);
            drop(counted);
            match self.next_step(destination, reply, &mut progress) {
                NextStep::Done(result) => return result,
                NextStep::Retry => {}
                NextStep::WaitForOwner if !self.may_wait_for_owner() => {
                    return self.give_up_without_target(&mut progress);
                }
                NextStep::WaitForOwner => tokio::time::sleep(OWNER_POLL_INTERVAL).await,
            }
        }
    }

    /// Whether a retry would be allowed now although the request may have run.
    fn may_retry(&self, progress: &Progress) -> bool {
        self.request.route.kind.is_idempotent()
            && progress.reached + 1 < self.request.route.max_attempts
            && self.has_time()
            && self.traffic.has_retry(self.service)
    }

    /// Whether this process ends before the target could have answered.
    fn is_too_late(&self, destination: &Destination) -> bool {
        let target_latency_ms = self.request.target_latency_ms();
        let expected = expected_time(self.traffic, destination.node.key, target_latency_ms);
        self.traffic.end.cuts_off(expected)
    }

    fn has_time(&self) -> bool {
        self.request.deadline.remaining(boot_now()) > MIN_ATTEMPT_TIME
    }

    /// Whether the request may wait for the owner of its key: within its hold time, and while the
    /// nodes that hold the key or take it over are live.
    fn may_wait_for_owner(&self) -> bool {
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
        // The keys of an evacuated data centre leave only if there is a target elsewhere.
        let has_other_place = || {
            let is_of_service =
                |it: &NodeEntry| it.target.as_ref().is_some_and(|it| *it.service == *self.service);
            directory.nodes.iter().any(|it| is_of_service(it) && !it.is_evacuated)
        };
        // Only the node is checked: it notices the end of its target at once, and the keys are then
        // handed over.
        let is_live = |owner: &Owner| {
            let node = directory.nodes.iter().find(|it| it.name == owner.node);
            let is_live = node.is_some_and(|it| it.is_reachable && !it.is_closing);
            is_live && (!node.is_some_and(|it| it.is_evacuated) || has_other_place())
        };
        match &entry.holding {
            Holding::Owned(owner) => is_live(owner),
            Holding::Leaving { from, to: Some(to), .. } => is_live(from) && is_live(to),
            Holding::Leaving { .. } | Holding::Free => false,
        }
    }

    /// Ends a request for which no target is available: none is left to choose, or the owner of its
    /// key cannot take it in time.
    fn give_up_without_target(&self, progress: &mut Progress) -> Result<ForwardedReply, Refusal> {
        let remaining_ms = self.request.deadline.remaining_ms(boot_now());
        let retry_after_ms = remaining_ms / UNAVAILABLE_RETRY_AFTER_DIVISOR;
        let max_ms = UNAVAILABLE_MAX_RETRY_AFTER_MS.max(self.settings.retry_after_ms);
        progress.retry_after_ms = retry_after_ms.clamp(self.settings.retry_after_ms, max_ms);
        progress.give_up()
    }

    /// Decides from the reply of an attempt how the request continues.
    fn next_step(
        &self,
        destination: Destination,
        reply: ForwardedReply,
        progress: &mut Progress,
    ) -> NextStep {
        let outcome = ReplyOutcome::try_from(reply.outcome).unwrap_or(ReplyOutcome::Unknown);
        match outcome {
            ReplyOutcome::Answered
                if reply.status < 500 || !self.request.route.kind.is_idempotent() =>
            {
                NextStep::Done(Ok(reply))
            }
            ReplyOutcome::Answered => {
                progress.failure = Some(reply);
                self.retry(destination, progress)
            }
            ReplyOutcome::NotSent if reply.reason == ReplyReason::Quarantined as i32 => {
                NextStep::Done(progress.give_up_quarantined())
            }
            // Another target would run the request at the same time.
            ReplyOutcome::NotSent if reply.reason == ReplyReason::SuspectRunning as i32 => {
                progress.retry_after_ms = reply.retry_after_ms;
                NextStep::Done(progress.give_up())
            }
            ReplyOutcome::NotSent => {
                let may_continue = progress.record_not_sent(&reply);
                if self.key.is_some() && may_be_owner_change(reply.reason) {
                    return NextStep::WaitForOwner;
                }
                // A request with a key can only go to its owner.
                if self.key.is_some() || !may_continue {
                    return NextStep::Done(progress.give_up());
                }
                progress.tried.push(destination.target);
                NextStep::Retry
            }
            ReplyOutcome::Rejected => self.retry(destination, progress),
            ReplyOutcome::Unknown => {
                progress.may_have_run = true;
                if reply.reason == ReplyReason::DeadlinePassed as i32 {
                    return NextStep::Done(Err(Refusal::TimedOut));
                }
                let has_crashed = reply.reason == ReplyReason::TargetCrashed as i32;
                let quarantine = &self.traffic.context.quarantine;
                if !self.request.route.kind.is_idempotent()
                    || has_crashed && quarantine.has_crashed_again(self.fingerprint)
                {
                    return NextStep::Done(progress.give_up());
                }
                self.retry(destination, progress)
            }
        }
    }

    /// Retries after an attempt that reached a target, if the attempt limit of the route, the
    /// remaining time and the retry budget allow it.
    fn retry(&self, destination: Destination, progress: &mut Progress) -> NextStep {
        progress.reached += 1;
        // A request with a key can only go to the owner again.
        if self.key.is_none() {
            progress.tried.push(destination.target);
        }
        let is_allowed = progress.reached < self.request.route.max_attempts;
        if !is_allowed || !self.has_time() || !self.traffic.has_retry(self.service) {
            return NextStep::Done(progress.give_up());
        }
        progress.is_retry_due = true;
        NextStep::Retry
    }

    /// Takes a retry that is about to be sent from the budget. Returns whether it may be sent. One
    /// that finds no target takes nothing.
    fn begin_retry(&self, progress: &mut Progress) -> bool {
        let is_taken = self.traffic.take_retry(self.service);
        if is_taken {
            progress.is_retry_due = false;
            let service = self.service.to_owned();
            counter!("galenastream_retries_total", "service" => service).increment(1);
        }
        is_taken
    }
}

/// Whether an attempt failed for a reason that a change of the key's owner may explain.
fn may_be_owner_change(reason: i32) -> bool {
    let reason = ReplyReason::try_from(reason).unwrap_or(ReplyReason::None);
    matches!(
        reason,
        ReplyReason::NotOwner
            | ReplyReason::Evacuated
            | ReplyReason::OtherTarget
            | ReplyReason::Draining
            | ReplyReason::PeerLost
            | ReplyReason::TargetUnreachable
    )
}
