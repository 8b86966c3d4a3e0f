//! The state of the traffic thread.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use galenastream_routing::{
    AdmissionLimits, RetryBudgetLimits, ServiceTime, TargetSelector, WeightedSplit,
    WindowedRetryBudget,
};
use galenastream_runtime::{AdmissionController, LogBudget, boot_now};
use galenastream_settings::EffectiveSettings;
use galenastream_utils::FastMap;

use super::NodeContext;
use crate::connection::{PeerLinks, TargetConnections};

/// The longest wait for a slot. The deadlines of the requests are the real limit.
const MAX_QUEUE_WAIT_MS: u32 = 10_000;

/// Slots of a target that has not said how many it has.
const DEFAULT_SLOTS: u32 = 1;

/// The state of the traffic thread.
pub struct TrafficState {
    /// What it shares with the control thread.
    pub context: Arc<NodeContext>,
    /// Connections to other nodes.
    pub links: PeerLinks,
    /// Connections to the target beside this node.
    pub target_connections: TargetConnections,
    /// Admission to the target beside this node.
    pub admission: AdmissionController,
    log_budget: LogBudget,
    /// Requests that are in progress at this node.
    pub in_progress: AtomicUsize,
    placement: Mutex<TargetSelector>,
    retry_budgets: Mutex<FastMap<String, WindowedRetryBudget>>,
    splits: Mutex<FastMap<String, WeightedSplit>>,
    service_time: Mutex<ServiceTime>,
    pending: AtomicUsize,
    limits: Mutex<Option<AdmissionLimits>>,
}

/// Counts a request until it is dropped.
pub struct CountGuard<'a> {
    counter: &'a AtomicUsize,
}

impl TrafficState {
    /// Creates the state of a process that starts.
    pub fn new(context: Arc<NodeContext>) -> Self {
        Self {
            links: PeerLinks::new(),
            target_connections: TargetConnections::new(context.settings.load().target_address),
            admission: AdmissionController::new(admission_limits(
                DEFAULT_SLOTS,
                &EffectiveSettings::default(),
            )),
            context,
            log_budget: LogBudget::new(),
            in_progress: AtomicUsize::new(0),
            placement: Mutex::default(),
            retry_budgets: Mutex::default(),
            splits: Mutex::default(),
            service_time: Mutex::default(),
            pending: AtomicUsize::new(0),
            limits: Mutex::default(),
        }
    }

    /// The book of targets.
    pub fn placement(&self) -> MutexGuard<'_, TargetSelector> {
        lock(&self.placement)
    }

    /// The index of the weight whose turn it is on a route.
    pub fn next_destination(&self, route: &str, weights: &[f64]) -> Option<usize> {
        if weights.len() == 1 {
            return Some(0);
        }
        lock(&self.splits).entry(route.to_owned()).or_default().next(weights)
    }

    /// Counts a request of a service that is sent for the first time.
    pub fn count_first_send(&self, service: &str) {
        self.with_retry_budget(service, |budget| budget.add_request(boot_now()));
    }

    /// Takes a retry of a service from its budget, if there is one.
    pub fn take_retry(&self, service: &str) -> bool {
        let node_count = self.context.directory.load().reachable_count();
        self.with_retry_budget(service, |budget| budget.take(boot_now(), node_count))
    }

    fn with_retry_budget<T>(
        &self,
        service: &str,
        action: impl FnOnce(&mut WindowedRetryBudget) -> T,
    ) -> T {
        let bounds = self.context.settings.load().bounds;
        let allowed_percent = self.effective_settings(service, None).retry_budget_percent;
        let allowed_share = f64::from(allowed_percent) / 100.0;
        let terms = RetryBudgetLimits {
            ratio: bounds.retry_ratio * allowed_share,
            allowance: bounds.retry_allowance * allowed_share,
            window: Duration::from_millis(bounds.retry_window_ms),
        };
        let mut retry_budgets = lock(&self.retry_budgets);
        let budget = retry_budgets
            .entry(service.to_owned())
            .or_insert_with(|| WindowedRetryBudget::new(terms));
        budget.set_budget_limits(terms);
        action(budget)
    }

    /// Counts a request that waits or runs at the target beside this node.
    pub fn count_pending(&self) -> CountGuard<'_> {
        CountGuard::new(&self.pending)
    }

    /// Requests that wait or run at the target beside this node.
    pub fn pending(&self) -> u32 {
        u32::try_from(self.pending.load(Ordering::Relaxed)).unwrap_or(u32::MAX)
    }

    /// Adds a measured service time of the target beside this node. The mean starts from a guess,
    /// so that a few samples do not say much.
    pub fn add_service_time(&self, sample: Duration, initial_estimate: Duration) {
        let mean = {
            let mut service_time = lock(&self.service_time);
            if service_time.mean().is_zero() {
                *service_time = ServiceTime::new(initial_estimate);
            }
            service_time.add(sample);
            service_time.mean()
        };
        let mean_us = u64::try_from(mean.as_micros()).unwrap_or(u64::MAX);
        self.context.service_time_us.store(mean_us, Ordering::Relaxed);
    }

    /// The mean service time of the target beside this node in microseconds.
    pub fn service_time_us(&self) -> u32 {
        u32::try_from(self.context.service_time_us.load(Ordering::Relaxed)).unwrap_or(u32::MAX)
    }

    /// The settings of a request that enters at this node, or ends at its target.
    pub fn effective_settings(&self, service: &str, key: Option<u16>) -> EffectiveSettings {
        let place = &self.context.settings.load().data_centre;
        *self.context.settings_tree.load().effective(service, place, key)
    }

    /// Puts the number of slots of the target beside this node in force, and the settings for it.
    pub fn set_admission_limits(&self, service: &str, slots: u32) {
        let next = admission_limits(slots, &self.effective_settings(service, None));
        let mut current = lock(&self.limits);
        if *current != Some(next) {
            *current = Some(next);
            self.admission.set_limits(next);
        }
    }

    /// Whether a line about a request may be logged.
    pub fn may_log(&self) -> bool {
        let service = &self.context.settings.load().service;
        let lines_per_s = self.effective_settings(service, None).log_lines_per_s;
        self.log_budget.allows(lines_per_s, boot_now())
    }
}

impl<'a> CountGuard<'a> {
    /// Counts a request.
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
