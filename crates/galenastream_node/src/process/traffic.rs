//! The state of the traffic thread.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use galenastream_routing::{
    AdmissionLimits, PlacementBook, RetryTerms, WeightedSplit, WindowedRetryBudget,
};
use galenastream_runtime::{AdmissionDesk, LogBudget, boot_now};
use galenastream_utils::FastMap;

use super::NodeContext;
use crate::connection::{PeerLinks, TargetConnections};

/// Requests that wait at a target for each of its slots, at most. The deadline decides long before.
const QUEUED_PER_SLOT: u32 = 4;

/// The longest wait for a slot. The deadlines of the requests are the real limit.
const LONGEST_WAIT_MS: u32 = 10_000;

/// The least time after which a refused caller shall come back.
const LEAST_RETRY_AFTER_MS: u32 = 50;

/// Slots of a target that has not said how many it has.
const UNKNOWN_SLOTS: u32 = 1;

/// Log lines about requests a second: twice the requests that a node carries on the busiest days,
/// each with a line at both ends.
const LOG_LINES_PER_S: u32 = 400;

/// The state of the traffic thread.
pub struct Traffic {
    /// What it shares with the control thread.
    pub context: Arc<NodeContext>,
    /// Connections to other nodes.
    pub links: PeerLinks,
    /// Connections to the target beside this node.
    pub target: TargetConnections,
    /// Admission to the target beside this node.
    pub desk: AdmissionDesk,
    /// Bounds the log lines about requests.
    pub log_budget: LogBudget,
    /// Requests that are in progress at this node.
    pub in_progress: AtomicUsize,
    placement: Mutex<PlacementBook>,
    budgets: Mutex<FastMap<String, WindowedRetryBudget>>,
    splits: Mutex<FastMap<String, WeightedSplit>>,
    service_time: Mutex<galenastream_routing::ServiceTime>,
    pending: AtomicUsize,
    slots: AtomicU64,
}

/// Counts a request until it is dropped.
pub struct Counted<'a> {
    counter: &'a AtomicUsize,
}

impl Traffic {
    /// Creates the state of a process that starts.
    pub fn new(context: Arc<NodeContext>) -> Self {
        Self {
            links: PeerLinks::new(),
            target: TargetConnections::new(context.settings.load().target_address),
            desk: AdmissionDesk::new(limits(UNKNOWN_SLOTS)),
            context,
            log_budget: LogBudget::new(LOG_LINES_PER_S),
            in_progress: AtomicUsize::new(0),
            placement: Mutex::default(),
            budgets: Mutex::default(),
            splits: Mutex::default(),
            service_time: Mutex::default(),
            pending: AtomicUsize::new(0),
            slots: AtomicU64::new(u64::from(UNKNOWN_SLOTS)),
        }
    }

    /// The book of targets.
    pub fn placement(&self) -> MutexGuard<'_, PlacementBook> {
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
        self.with_budget(service, |budget| budget.add_request(boot_now()));
    }

    /// Takes a retry of a service from its budget, if there is one.
    pub fn take_retry(&self, service: &str) -> bool {
        let node_count = self.context.directory.load().heard_count();
        self.with_budget(service, |budget| budget.take(boot_now(), node_count))
    }

    fn with_budget<T>(
        &self,
        service: &str,
        action: impl FnOnce(&mut WindowedRetryBudget) -> T,
    ) -> T {
        let bounds = self.context.settings.load().bounds;
        let terms = RetryTerms {
            ratio: bounds.retry_ratio,
            allowance: bounds.retry_allowance,
            window: Duration::from_millis(bounds.retry_window_ms),
        };
        let mut budgets = lock(&self.budgets);
        let budget =
            budgets.entry(service.to_owned()).or_insert_with(|| WindowedRetryBudget::new(terms));
        action(budget)
    }

    /// Counts a request that waits or runs at the target beside this node.
    pub fn count_pending(&self) -> Counted<'_> {
        Counted::new(&self.pending)
    }

    /// Requests that wait or run at the target beside this node.
    pub fn pending(&self) -> u32 {
        u32::try_from(self.pending.load(Ordering::Relaxed)).unwrap_or(u32::MAX)
    }

    /// Adds a measured service time of the target beside this node.
    pub fn add_service_time(&self, sample: Duration) {
        let mean = {
            let mut service_time = lock(&self.service_time);
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

    /// Puts the number of slots of the target beside this node in force.
    pub fn set_slots(&self, slots: u32) {
        if self.slots.swap(u64::from(slots), Ordering::Relaxed) != u64::from(slots) {
            self.desk.set_limits(limits(slots));
        }
    }
}

impl<'a> Counted<'a> {
    /// Counts a request.
    pub fn new(counter: &'a AtomicUsize) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self { counter }
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.counter.fetch_sub(1, Ordering::Relaxed);
    }
}

fn limits(slots: u32) -> AdmissionLimits {
    AdmissionLimits {
        slots: slots.max(1),
        queue_limit: slots.saturating_mul(QUEUED_PER_SLOT),
        queue_wait_ms: LONGEST_WAIT_MS,
        retry_after_ms: LEAST_RETRY_AFTER_MS,
        ramp_up_ms: 0,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
