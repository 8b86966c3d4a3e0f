//! Leases that the node grants to the local target by calls, and takes back.

use std::{sync::Arc, time::Duration};

use galenastream_adapter::LeaseDelivery;
use galenastream_ranges::{
    CallId, CallOutcome, KeyRange, LeaseOrder, PlannedCall, TargetIncarnation,
};
use galenastream_utils::BootInstant;

use super::Effect;
use super::control_state::ControlState;
use super::local_target::LocalTargetState;
use super::ownership_log::millis;

/// How long a grant is under way at most. A lease is granted so that it ends in time even if its call
/// arrives at the last moment. A grant without an answer delays moves of its keys until its lease has
/// ended, so busy VMs get time to answer.
pub(super) const GRANT_TIMEOUT: Duration = Duration::from_millis(700);

/// How long a release is under way at most: as long as the leases that it ends.
pub(super) const RELEASE_TIMEOUT: Duration = Duration::from_millis(7_000);

/// The remaining time of a lease below which a process that is about to stop renews it.
const CLOSING_RENEWAL: Duration = Duration::from_millis(1_500);

/// Number of ids for the calls to one local target.
const CALL_IDS_PER_TARGET: u64 = 1 << 32;

/// Interval at which it is logged again that nothing can be granted.
const WITHHELD_LOG_INTERVAL: Duration = Duration::from_millis(1_000);

/// What a call was decided on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallBasis {
    /// The service of the target.
    pub service: Arc<str>,
    /// The version of the row.
    pub row_version: u64,
    /// The time since the row was known to be current, in milliseconds; `None` if that is not known.
    pub confirmed_age_ms: Option<u64>,
}

/// What was logged of leases that cannot be granted.
#[derive(Debug, Default)]
pub(super) struct LeaseCallLog {
    /// The last reason, and when it was logged.
    withheld: Option<(String, BootInstant)>,
}

impl ControlState {
    /// How targets of a service learn of their leases.
    pub(super) fn lease_delivery(&self, service: &str) -> LeaseDelivery {
        let rules = self.routing.as_ref().and_then(|it| it.service(service));
        let delivery = rules.and_then(|it| it.lease_delivery.as_ref());
        delivery.unwrap_or(&self.settings.lease_delivery).clone()
    }

    /// The first of the ids for the calls to the next local target.
    pub(super) const fn next_call_ids(&mut self) -> CallId {
        self.local_target_count += 1;
        CallId(self.local_target_count * CALL_IDS_PER_TARGET)
    }

    /// Sends the calls that are due: grants and renewals of what the local target owns, and releases
    /// of what is leaving it.
    pub(super) fn plan_lease_calls(&mut self, now: BootInstant) {
        let Some(service) = self.local.as_ref().map(|it| it.service.clone()) else {
            return;
        };
        if !self.holds_keys(&service) {
            return;
        }
        match self.lease_delivery(&service) {
            LeaseDelivery::Calls => {}
            LeaseDelivery::Heartbeats => return,
            LeaseDelivery::Unknown(word) => {
                return self
                    .log_withheld(&format!("the way of granting {word:?} is not known"), now);
            }
        }
        let lease = self.call_lease(&service, now);
        let (Some(record), Some(local)) = (self.assignments.get(&*service), &self.local) else {
            return;
        };
        if record.is_stated_gone(&local.incarnation) {
            return;
        }
        // A write that cancels the moves is under way: the target need not release the keys.
        if self.is_cancelling_moves(local, record) {
            return;
        }
        let (row_version, assignment) = (record.version, record.assignment.clone());
        let target = local.incarnation.clone();
        let Some(local) = &mut self.local else {
            return;
        };
        let calls = local.calls.plan(&assignment, &target, lease.ok(), now);
        let owns_keys = assignment.owned_by(&target).next().is_some();
        let confirmed_age_ms = self.confirmed_at.map(|it| millis(now.saturating_since(it)));
        for call in calls {
            let basis = CallBasis { service: service.clone(), row_version, confirmed_age_ms };
            log_call(&target, &call, &basis);
            self.effects.push(Effect::CallTarget { target: target.clone(), call, basis });
        }
        if let Err(reason) = lease
            && owns_keys
            && !self.is_closing
        {
            self.log_withheld(reason, now);
        }
    }

    /// The duration of a lease that is granted to the local target now, or why none can be granted.
    fn call_lease(&self, service: &str, now: BootInstant) -> Result<Duration, &'static str> {
        let record = self.assignments.get(service).ok_or("no assignment is known")?;
        if record.unreadable_version.is_some() {
            return Err("the newest row cannot be decoded");
        }
        // A call reaches whichever target is at the address, also a later run under the same id.
        let local = self.local.as_ref().ok_or("no target is known")?;
        if local.heartbeats_until_certain > 0 {
            return Err("another target was heard");
        }
        if self.silence(local, now) > self.heartbeat_timeout() / 2 {
            return Err("the heartbeats of the target have stopped");
        }
        // The keys are moving away, and a grant that is not answered would delay that.
        if self.is_closing && !self.is_about_to_lapse(local, now) {
            return Err("the process is about to stop");
        }
        // The previous process on this VM may have acted on a newer row.
        let confirmed_at = self.confirmed_at.filter(|it| *it >= self.started_at);
        let terms = record.assignment.grant_terms(self.lease_terms);
        // The call may arrive up to its timeout later, and the lease runs from then.
        let lease = confirmed_at.and_then(|it| terms.lease(it, now + GRANT_TIMEOUT));
        lease.ok_or("the assignment was not confirmed lately")
    }

    /// Whether a lease of the local target ends soon.
    fn is_about_to_lapse(&self, local: &LocalTargetState, now: BootInstant) -> bool {
        let held = local.calls.held(now);
        held.is_empty() || held.iter().any(|it| it.2 < now + CLOSING_RENEWAL)
    }

    /// Handles the end of a call to the local target.
    pub(super) fn handle_lease_call_end(
        &mut self,
        target: &TargetIncarnation,
        id: CallId,
        outcome: CallOutcome,
        now: BootInstant,
    ) {
        let terms = self.lease_terms;
        let Some(local) = self.local.as_mut().filter(|it| it.incarnation == *target) else {
            return;
        };
        // Another target may be at the address.
        self.is_identity_wanted |= outcome == CallOutcome::Refused;
        local.calls.record_outcome(id, outcome, terms, now);
    }

    /// Handles the refusal of a request by the local target, since it does not hold the key. A release
    /// that got no answer may have been carried out after the key was granted again.
    pub(super) fn handle_key_denial(
        &mut self,
        target: &TargetIncarnation,
        key: u16,
        now: BootInstant,
    ) {
        if let Some(local) = self.local.as_mut().filter(|it| it.incarnation == *target) {
            local.calls.record_denial(key, now);
        }
    }

    /// Takes all keys back from a target that was taken for ended and is heard again.
    pub(super) fn release_all(
        &mut self,
        target: &TargetIncarnation,
        service: &str,
        now: BootInstant,
    ) {
        let is_called = self.lease_delivery(service) == LeaseDelivery::Calls;
        // A call names the id only, so it would reach the next run under the same id.
        let has_successor = self.local.as_ref().is_some_and(|it| it.incarnation.id == target.id);
        if !is_called || has_successor || self.recently_ended(target, now).is_none() {
            return;
        }
        let fence = self.assignments.get(service).map_or(0, |it| it.assignment.highest_fence());
        let order = LeaseOrder::Release { range: KeyRange::ALL, fence };
        let call = PlannedCall { id: self.next_call_ids(), order, is_renewal: false };
        let row_version = self.assignments.get(service).map_or(0, |it| it.version);
        let service = Arc::from(service);
        let basis = CallBasis { service, row_version, confirmed_age_ms: None };
        log_call(target, &call, &basis);
        self.effects.push(Effect::CallTarget { target: target.clone(), call, basis });
    }

    /// Why nothing was granted by calls lately.
    pub(super) fn withheld_reason(&self, now: BootInstant) -> Option<String> {
        let (reason, at) = self.lease_call_log.withheld.as_ref()?;
        (now < *at + WITHHELD_LOG_INTERVAL * 2).then(|| reason.clone())
    }

    fn log_withheld(&mut self, reason: &str, now: BootInstant) {
        let last = self.lease_call_log.withheld.as_ref();
        if last.is_some_and(|(it, at)| it == reason && now < *at + WITHHELD_LOG_INTERVAL) {
            return;
        }
        self.lease_call_log.withheld = Some((reason.to_owned(), now));
        log::warn!(event = "lease_withheld", reason; "");
    }
}

/// Logs a call that is sent now. Renewals are logged when they end.
fn log_call(target: &TargetIncarnation, call: &PlannedCall, basis: &CallBasis) {
    if call.is_renewal {
        return;
    }
    let (range, fence) = (call.order.range(), call.order.fence());
    let (kind, lease_ms) = (call.order.kind(), millis(call.order.lease()));
    log::info!(
        event = "lease_call",
        kind,
        service = &*basis.service,
        target:%,
        range:%,
        fence,
        lease_ms,
        call = call.id.0,
        row_version = basis.row_version,
        confirmed_age_ms = basis.confirmed_age_ms;
        ""
    );
}
