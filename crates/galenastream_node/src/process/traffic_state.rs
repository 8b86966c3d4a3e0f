//! The state of the traffic thread.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use galenastream_routing::{
    AdmissionLimits, ColdPeriod, LimitTrials, PortClients, RequestFingerprint, RetryBudgetLimits,
    ServiceTime, TargetSelector, UsualWaits, WeightedSplit, WindowedRetryBudget,
};
use galenastream_runtime::{AdmissionController, ConnectionSlots, LinkShare, LogBudget, boot_now};
use galenastream_settings::EffectiveSettings;
use galenastream_utils::{BootInstant, FastMap, FastSet};
use galenastream_wire::TargetAnnouncement;
use tokio::sync::{Notify, futures::Notified};

use super::{
    AnswerSizes, ConnectionLimits, ControlEvent, LocalAnnouncement, LocalTarget, MemoryBudgets,
    NodeContext, ProcessEnd, RememberedAnnouncements, TargetLimit, TrafficTally,
};
use crate::connection::{PeerLinks, ServedConnections, TargetConnections};

/// The longest wait for a slot. The deadlines of the requests are the effective limit.
const MAX_QUEUE_WAIT_MS: u32 = 10_000;

/// Time after the end of a request limit for which other nodes are not told the service time of the
/// local target. The first few samples would keep their requests away from it, if they are slow by
/// chance; the requests in progress show them its load.
const RECOVERY_TIME: Duration = Duration::from_secs(10);

/// Number of slots assumed before the local target is known.
const DEFAULT_SLOTS: u32 = 1;

/// The state of the traffic thread.
pub struct TrafficState {
    /// The state shared with the control thread.
    pub context: Arc<NodeContext>,
    /// The memory for long bodies in progress.
    pub memory_budgets: MemoryBudgets,
    /// The link of the VM, which long answers share with everything else.
    pub link: Arc<LinkShare>,
    /// The connections to other nodes.
    pub links: PeerLinks,
    /// The connections to the local target.
    pub target_connections: TargetConnections,
    /// The connections of callers and of other nodes to this one.
    pub connections: ServedConnections,
    /// The connections that callers may open.
    pub caller_slots: Arc<ConnectionSlots>,
    /// The connections that other nodes may open.
    pub peer_slots: Arc<ConnectionSlots>,
    /// Controls the admission of requests to the local target.
    pub admission: AdmissionController,
    log_budget: LogBudget,
    tally: Mutex<TrafficTally>,
    /// The end of this process, once it is about to stop.
    pub end: ProcessEnd,
    /// Counts the requests in progress at this node. A request may be counted more than once; 0
    /// means that there is none.
    pub in_progress: AtomicUsize,
    placement: Mutex<TargetSelector>,
    retry_budgets: Mutex<FastMap<String, WindowedRetryBudget>>,
    splits: Mutex<FastMap<String, WeightedSplit>>,
    /// The waits that callers state, by the target latency of the route.
    usual_waits: Mutex<FastMap<u64, UsualWaits>>,
    service_time: Mutex<ServiceTime>,
    /// The sizes of the long answers to callers.
    pub caller_answers: AnswerSizes,
    /// When the last request limit of the local target ended.
    limit_ended_at: Mutex<Option<BootInstant>>,
    admission_limits: Mutex<Option<AdmissionLimits>>,
    cold_period: Mutex<Option<ColdPeriod>>,
    announcement: Mutex<LocalAnnouncement>,
    remembered: Mutex<RememberedAnnouncements>,
    limit_trials: Mutex<LimitTrials>,
    /// The suspected requests that the local target is running.
    running_suspects: Mutex<FastSet<RequestFingerprint>>,
    /// Notified when the run of a suspected request has ended.
    suspect_ended: Notify,
}

/// A suspected request that the local target is running, until it is dropped.
pub struct RunningSuspect<'a> {
    traffic: &'a TrafficState,
    fingerprint: RequestFingerprint,
}

/// Increments a counter of requests and decrements it when dropped.
pub struct CountGuard<'a> {
    counter: &'a AtomicUsize,
}

impl TrafficState {
    /// Creates the state of a starting process.
    pub fn new(context: Arc<NodeContext>) -> Self {
        let settings = context.settings.load_full();
        let budgets = MemoryBudgets::new(settings.limits);
        let connection_limits = ConnectionLimits::new(settings.limits);
        Self {
            links: PeerLinks::new(budgets.answers.clone()),
            target_connections: TargetConnections::new(
                settings.target_address,
                budgets.answers.clone(),
            )
            .with_count(context.target_connections.clone()),
            memory_budgets: budgets,
            link: LinkShare::new(settings.limits.link_mbit_per_s),
            connections: ServedConnections::default(),
            caller_slots: ConnectionSlots::new(
                "callers",
                PortClients::Any,
                connection_limits.callers,
            ),
            peer_slots: ConnectionSlots::new("peers", PortClients::Nodes, connection_limits.peers),
            admission: AdmissionController::new(admission_limits(
                DEFAULT_SLOTS,
                &EffectiveSettings::default(),
            )),
            context,
            log_budget: LogBudget::new(),
            tally: Mutex::default(),
            end: ProcessEnd::default(),
            in_progress: AtomicUsize::new(0),
            placement: Mutex::new(TargetSelector::new(rand::random())),
            retry_budgets: Mutex::default(),
            splits: Mutex::default(),
            usual_waits: Mutex::default(),
            service_time: Mutex::default(),
            caller_answers: AnswerSizes::default(),
            limit_ended_at: Mutex::default(),
            admission_limits: Mutex::default(),
            cold_period: Mutex::default(),
            announcement: Mutex::default(),
            remembered: Mutex::default(),
            limit_trials: Mutex::new(LimitTrials::new(rand::random())),
            running_suspects: Mutex::default(),
            suspect_ended: Notify::new(),
        }
    }

    /// Locks the selector that distributes requests over targets.
    pub fn placement(&self) -> MutexGuard<'_, TargetSelector> {
        lock(&self.placement)
    }

    /// Locks what targets have announced in the responses that this node has passed on.
    pub fn remembered(&self) -> MutexGuard<'_, RememberedAnnouncements> {
        lock(&self.remembered)
    }

    /// Locks the decisions on requests that are sent to find out whether limits have ended.
    pub fn limit_trials(&self) -> MutexGuard<'_, LimitTrials> {
        lock(&self.limit_trials)
    }

    /// What the local target announces, if it is the incarnation with this id and start time.
    pub fn announcement_of(&self, target_id: &str, born_ms: u64) -> Option<TargetAnnouncement> {
        let announcement = lock(&self.announcement);
        if !announcement.is_of(target_id, born_ms) {
            return None;
        }
        let directory = self.context.directory.load();
        let is_same = |it: &&LocalTarget| {
            *it.incarnation.id == *target_id && it.incarnation.born_ms == born_ms
        };
        let draining_since = directory.local.as_ref().filter(is_same)?.draining_since;
        Some(announcement.to_message(draining_since, boot_now()))
    }

    /// Updates what the local target announces. A changed limit is applied to admission, and the
    /// control state is notified of a leave.
    pub fn update_announcement(&self, action: impl FnOnce(&mut LocalAnnouncement)) {
        let mut announcement = lock(&self.announcement);
        let (limit, leaving) = (announcement.limit(), announcement.leaving());
        action(&mut announcement);
        let next_limit = announcement.limit();
        let rate_of = |it: &Option<TargetLimit>| it.as_ref().map(|it| (it.target.clone(), it.rate));
        if rate_of(&next_limit) != rate_of(&limit) {
            self.admission.set_request_limit(next_limit.as_ref().map(|it| it.rate));
        }
        let is_same = |it: &TargetLimit| announcement.is_of(&it.target.id, it.target.born_ms);
        if next_limit.is_none() && limit.as_ref().is_some_and(is_same) {
            *lock(&self.limit_ended_at) = Some(boot_now());
            *lock(&self.service_time) = ServiceTime::default();
        }
        if next_limit != limit {
            *lock(&self.context.target_limit) = next_limit;
        }
        if announcement.leaving() != leaving
            && let Some((target, since)) = announcement.leaving()
        {
            let event = ControlEvent::TargetLeaving { target, since };
            self.context.control_events.deliver(event);
        }
    }

    /// Locks the counts of requests and attempts.
    pub fn tally(&self) -> MutexGuard<'_, TrafficTally> {
        lock(&self.tally)
    }

    /// The index of the destination of the next request of a route, chosen by weight.
    pub fn next_destination(&self, route: &str, weights: &[f64]) -> Option<usize> {
        if weights.len() == 1 {
            return Some(0);
        }
        lock(&self.splits).entry(route.to_owned()).or_default().next(weights)
    }

    /// Counts the wait that the caller of a request states. Returns for how many milliseconds the
    /// caller has waited before this attempt.
    pub fn waited_before_ms(&self, target_latency_ms: u64, wait_ms: u32) -> u32 {
        lock(&self.usual_waits).entry(target_latency_ms).or_default().add(wait_ms)
    }

    /// Counts the first attempt of a request in the retry budget of its service.
    pub fn count_first_send(&self, service: &str) {
        self.with_retry_budget(service, |budget| budget.add_request(boot_now()));
    }

    /// Takes a retry from the budget of a service. Returns whether the budget allows it.
    pub fn take_retry(&self, service: &str) -> bool {
        let node_count = self.context.directory.load().reachable_count();
        self.with_retry_budget(service, |budget| budget.take(boot_now(), node_count))
    }

    /// Whether the budget of a service allows a retry now.
    pub fn has_retry(&self, service: &str) -> bool {
        let node_count = self.context.directory.load().reachable_count();
        self.with_retry_budget(service, |budget| budget.is_available(boot_now(), node_count))
    }

    fn with_retry_budget<T>(
        &self,
        service: &str,
        action: impl FnOnce(&mut WindowedRetryBudget) -> T,
    ) -> T {
        let bounds = self.context.settings.load().bounds;
        let allowed_percent = self.effective_settings(service, None).retry_budget_percent;
        let allowed_share = f64::from(allowed_percent) / 100.0;
        let budget_limits = RetryBudgetLimits {
            ratio: bounds.retry_ratio * allowed_share,
            allowance: bounds.retry_allowance * allowed_share,
            window: Duration::from_millis(bounds.retry_window_ms),
        };
        let mut retry_budgets = lock(&self.retry_budgets);
        let budget = retry_budgets
            .entry(service.to_owned())
            .or_insert_with(|| WindowedRetryBudget::new(budget_limits));
        budget.set_budget_limits(budget_limits);
        action(budget)
    }

    /// Counts a request as pending at the local target until the guard is dropped.
    pub fn count_pending(&self) -> CountGuard<'_> {
        CountGuard::new(&self.context.pending)
    }

    /// The number of requests that wait for the local target or run there.
    pub fn pending(&self) -> u32 {
        u32::try_from(self.context.pending.load(Ordering::Relaxed)).unwrap_or(u32::MAX)
    }

    /// Adds a measured service time of the local target to the mean. The mean starts from
    /// `initial_estimate`, so that a few samples have little weight. After the end of a request limit
    /// it starts from the first sample: what was measured of a target in need, or estimated because
    /// it got few requests, would keep the requests away from it.
    pub fn add_service_time(&self, sample: Duration, initial_estimate: Duration) {
        let mean = {
            let mut service_time = lock(&self.service_time);
            let has_limit_ended = lock(&self.limit_ended_at).is_some();
            if service_time.mean().is_zero() && !has_limit_ended {
                *service_time = ServiceTime::new(initial_estimate);
            }
            service_time.add(sample);
            service_time.mean()
        };
        let mean_us = u64::try_from(mean.as_micros()).unwrap_or(u64::MAX);
        self.context.service_time_us.store(mean_us, Ordering::Relaxed);
    }

    /// The mean service time of the local target, if it has been measured.
    pub fn measured_service_time(&self) -> Option<Duration> {
        let mean_us = self.context.service_time_us.load(Ordering::Relaxed);
        (mean_us > 0).then(|| Duration::from_micros(mean_us))
    }

    /// The mean service time of the local target in microseconds, as other nodes are told; 0 before
    /// anything was measured, and for some time after the end of a request limit.
    pub fn service_time_us(&self) -> u32 {
        let limit_ended_at = *lock(&self.limit_ended_at);
        if limit_ended_at.is_some_and(|it| boot_now().saturating_since(it) < RECOVERY_TIME) {
            return 0;
        }
        u32::try_from(self.context.service_time_us.load(Ordering::Relaxed)).unwrap_or(u32::MAX)
    }

    /// The settings for a request of a service at this node, in the data centre of the node. A key
    /// selects the settings of its range.
    pub fn effective_settings(&self, service: &str, key: Option<u16>) -> EffectiveSettings {
        let place = &self.context.settings.load().data_centre;
        *self.context.settings_tree.load().effective(service, place, key)
    }

    /// Applies the number of slots of the local target and the settings of its service to
    /// admission.
    pub fn set_admission_limits(&self, service: &str, slots: u32) {
        let next = admission_limits(slots, &self.effective_settings(service, None));
        let mut current = lock(&self.admission_limits);
        if *current != Some(next) {
            *current = Some(next);
            self.admission.set_limits(next);
        }
    }

    /// Applies the time for which the local target is cold to admission.
    pub fn set_cold_period(&self, cold: Option<ColdPeriod>) {
        let mut current = lock(&self.cold_period);
        if *current != cold {
            *current = cold;
            self.admission.set_cold_period(cold);
        }
    }

    /// Records that the local target runs a suspected request. Returns `None` if it already does.
    pub fn begin_suspect(&self, fingerprint: RequestFingerprint) -> Option<RunningSuspect<'_>> {
        let is_first = lock(&self.running_suspects).insert(fingerprint);
        // Built only then: dropping it ends the run that has the turn.
        is_first.then(|| RunningSuspect { traffic: self, fingerprint })
    }

    /// Completes when the run of a suspected request has ended, counted from this call.
    pub fn suspect_ended(&self) -> Notified<'_> {
        self.suspect_ended.notified()
    }

    /// The service on this VM, on which the requests of callers originate.
    pub fn caller_service(&self) -> String {
        match &self.context.directory.load().local {
            Some(local) => local.service.to_string(),
            None => self.context.settings.load().service.clone(),
        }
    }

    /// Whether the log budget allows another line about a request.
    pub fn may_log(&self) -> bool {
        let service = &self.context.settings.load().service;
        let lines_per_s = self.effective_settings(service, None).log_lines_per_s;
        self.log_budget.allows(lines_per_s, boot_now())
    }
}

impl Drop for RunningSuspect<'_> {
    fn drop(&mut self) {
        lock(&self.traffic.running_suspects).remove(&self.fingerprint);
        self.traffic.suspect_ended.notify_waiters();
    }
}

impl<'a> CountGuard<'a> {
    /// Increments `counter` until the guard is dropped.
    pub fn new(counter: &'a AtomicUsize) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self { counter }
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.counter.fetch_sub(1, Ordering::Relaxed);
    }
}

fn admission_limits(slots: u32, settings: &EffectiveSettings) -> AdmissionLimits {
    AdmissionLimits {
        slots: slots.max(1),
        queue_limit: slots.saturating_mul(settings.queue_per_slot),
        queue_wait_ms: MAX_QUEUE_WAIT_MS,
        retry_after_ms: settings.retry_after_ms,
        ramp_up_ms: 0,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
