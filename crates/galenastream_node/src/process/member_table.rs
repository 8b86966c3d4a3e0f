//! The members of services that are not divided by key, and what this node measured of them.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use galenastream_ownership::{FastMap, ServiceId, VmId};
use galenastream_routing::{Candidate, MemberLoads};

/// How long a list of members is used before it is asked for again.
const MEMBERS_KEPT: Duration = Duration::from_secs(1);

/// The members of services that are not divided by key, and what this node measured of them.
#[derive(Debug, Default)]
pub struct MemberTable {
    services: Mutex<FastMap<ServiceId, ServiceMembers>>,
}

#[derive(Debug, Default)]
struct ServiceMembers {
    candidates: Vec<Candidate>,
    learned_at: Option<Instant>,
    loads: MemberLoads,
}

/// A request in progress at a member. Dropping it ends the measurement.
#[derive(Debug)]
pub struct MemberRequest<'a> {
    table: &'a MemberTable,
    service: ServiceId,
    vm: VmId,
    began_at: Instant,
}

impl MemberTable {
    /// Whether the list of members was learned a short time ago.
    pub fn is_current(&self, service: ServiceId) -> bool {
        let services = self.lock();
        let learned_at = services.get(&service).and_then(|members| members.learned_at);
        learned_at.is_some_and(|it| it.elapsed() < MEMBERS_KEPT)
    }

    /// Chooses a member; `None` if none is known.
    pub fn choose(&self, service: ServiceId) -> Option<VmId> {
        let services = self.lock();
        let members = services.get(&service)?;
        members.loads.choose(&members.candidates, &mut rand::rng())
    }

    /// Takes a list of members in, unless it names none.
    ///
    /// A coordinator that has just taken office does not know the members yet. The list before is
    /// the better hint then: a member that has left says so, and nothing runs.
    pub fn learn(&self, service: ServiceId, candidates: Vec<Candidate>) {
        if candidates.is_empty() {
            return;
        }
        let mut services = self.lock();
        let members = services.entry(service).or_default();
        members.loads.retain(&candidates);
        members.loads.age();
        members.candidates = candidates;
        members.learned_at = Some(Instant::now());
    }

    /// Forgets a member that failed, until the list of members is learned again.
    pub fn forget(&self, service: ServiceId, vm: VmId) {
        let mut services = self.lock();
        let Some(members) = services.get_mut(&service) else {
            return;
        };
        // The last one stays: another try is better than none.
        if members.candidates.len() > 1 {
            members.candidates.retain(|it| it.vm != vm);
        }
    }

    /// Counts a request that is sent to a member.
    pub fn begin(&self, service: ServiceId, vm: VmId) -> MemberRequest<'_> {
        self.lock().entry(service).or_default().loads.begin(vm);
        MemberRequest { table: self, service, vm, began_at: Instant::now() }
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<ServiceId, ServiceMembers>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for MemberRequest<'_> {
    fn drop(&mut self) {
        let latency_us = u64::try_from(self.began_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        if let Some(members) = self.table.lock().get_mut(&self.service) {
            members.loads.finish(self.vm, latency_us);
        }
    }
}
