//! What a target holds in memory.

use std::sync::{
    Mutex, PoisonError,
    atomic::{AtomicU32, Ordering},
};

use galenastream_ownership::FastMap;
use tokio::{sync::Semaphore, time::Instant};

use super::{
    TargetConfig,
    event::EventLog,
    faults::TargetFaultSwitch,
    grants::GrantCheck,
    load::{LoadHistory, LoadSample},
};

/// How much longer an order takes on a target that has just started.
const COLD_FACTOR: f64 = 3.0;

/// What a target holds in memory.
#[derive(Debug)]
pub(crate) struct TargetState {
    pub config: TargetConfig,
    pub faults: TargetFaultSwitch,
    pub grants: GrantCheck,
    pub events: EventLog,
    pub slots: Semaphore,
    pub queued: AtomicU32,
    load: LoadHistory,
    started_at: Instant,
    counters: Mutex<FastMap<String, u64>>,
}

impl TargetState {
    pub(crate) fn new(config: TargetConfig) -> Self {
        Self {
            faults: TargetFaultSwitch::new(),
            grants: GrantCheck::default(),
            events: EventLog::new(config.events),
            slots: Semaphore::new(config.slots as usize),
            queued: AtomicU32::new(0),
            load: LoadHistory::new(config.load_lag_ms),
            started_at: Instant::now(),
            counters: Mutex::new(FastMap::default()),
            config,
        }
    }

    /// Carries out a change of a key's state, or none, and returns its counter.
    pub(crate) fn count(&self, key: &str, changes_state: bool) -> u64 {
        let mut counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        if !changes_state {
            return counters.get(key).copied().unwrap_or(0);
        }
        let counter = counters.entry(key.to_owned()).or_insert(0);
        *counter += 1;
        *counter
    }

    /// How long an order takes now. Falls from the cold to the warm time during the cold start.
    pub(crate) fn service_ms(&self, class: &str) -> f64 {
        let slow = 1.0 + f64::from(self.faults.current().slow_percent) / 100.0;
        self.config.service_ms_of(class) * self.cold_factor() * slow
    }

    fn cold_factor(&self) -> f64 {
        let age_ms = self.started_at.elapsed().as_secs_f64() * 1_000.0;
        let cold_start_ms = self.config.cold_start_ms as f64;
        if age_ms >= cold_start_ms {
            return 1.0;
        }
        COLD_FACTOR - (COLD_FACTOR - 1.0) * age_ms / cold_start_ms
    }

    /// The true load.
    pub(crate) fn sample_load(&self) -> LoadSample {
        let free = u32::try_from(self.slots.available_permits()).unwrap_or(0);
        LoadSample {
            busy_slots: self.config.slots.saturating_sub(free),
            queued: self.queued.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn record_load(&self) {
        self.load.record(self.sample_load());
    }

    /// The load that the target reports, which lags, or is a lie.
    pub(crate) fn reported_load(&self) -> LoadSample {
        let reported =
            if self.config.load_lag_ms == 0 { self.sample_load() } else { self.load.reported() };
        match self.faults.current().lie_busy_slots {
            Some(busy_slots) => LoadSample { busy_slots, ..reported },
            None => reported,
        }
    }
}
