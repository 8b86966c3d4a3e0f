//! Whom to ask for the routes of a service.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use galenastream_ownership::{
    BootInstant, CellId, CellRow, FastMap, ServiceId, StoreOperation, StoreReply, VmId,
};
use galenastream_platform::CellStore;
use tokio::sync::Mutex as AsyncMutex;

use super::boot_now;

/// How long a row is taken for current after it was read.
const MINIMUM_READ_INTERVAL: Duration = Duration::from_millis(250);

/// The most services that are remembered.
const MAX_SERVICES: usize = 4_096;

/// Whom to ask for the routes of services other than the node's own.
///
/// A service's row is read once, and again only when the coordinator that it names is gone.
#[derive(Debug)]
pub struct CellDirectory {
    store: CellStore,
    services: Mutex<FastMap<ServiceId, Arc<DirectoryEntry>>>,
}

#[derive(Debug, Default)]
struct DirectoryEntry {
    state: AsyncMutex<EntryState>,
}

#[derive(Debug, Default)]
struct EntryState {
    row: Option<Arc<CellRow>>,
    read_at: Option<BootInstant>,
    coordinator: Option<VmId>,
}

impl CellDirectory {
    /// Creates an empty directory on the platform's table.
    pub fn new(store: CellStore) -> Self {
        Self { store, services: Mutex::new(FastMap::default()) }
    }

    /// The last row of a service's cell. Reads it if it is not known, or if `gone` is the
    /// coordinator that it names and it was not read a moment ago.
    pub async fn row(&self, service: ServiceId, gone: Option<VmId>) -> Option<Arc<CellRow>> {
        let entry = self.entry(service);
        let mut state = entry.state.lock().await;
        let now = boot_now();
        let is_fresh = state
            .read_at
            .is_some_and(|read_at| now.saturating_since(read_at) < MINIMUM_READ_INTERVAL);
        let is_wanted = match (&state.row, gone) {
            (None, _) => true,
            (Some(row), Some(gone)) => row.coordinator.vm == gone,
            (Some(_), None) => false,
        };
        if !is_wanted || is_fresh {
            return state.row.clone();
        }
        let cell = CellId::new(service, 0);
        let reply = self.store.execute(StoreOperation::Read { cell }).await;
        state.read_at = Some(boot_now());
        if let StoreReply::Row(Some(stored)) = reply {
            state.coordinator = None;
            state.row = Some(Arc::new(stored.row));
        }
        state.row.clone()
    }

    /// The coordinator that another node named since the row was read.
    pub async fn coordinator(&self, service: ServiceId) -> Option<VmId> {
        self.entry(service).state.lock().await.coordinator
    }

    /// Records the coordinator that another node named.
    pub async fn learn_coordinator(&self, service: ServiceId, coordinator: Option<VmId>) {
        self.entry(service).state.lock().await.coordinator = coordinator;
    }

    fn entry(&self, service: ServiceId) -> Arc<DirectoryEntry> {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        if services.len() >= MAX_SERVICES && !services.contains_key(&service) {
            services.clear();
        }
        services.entry(service).or_default().clone()
    }
}
