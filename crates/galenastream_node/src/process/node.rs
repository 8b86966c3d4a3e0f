//! The state of a process that its traffic threads and its control thread share.

use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;
use galenastream_ownership::{CellId, CellView, Event, Incarnation, Term, VmId};
use galenastream_platform::CellStore;
use galenastream_routing::AdmissionLimits;
use galenastream_settings::EffectiveSettings;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::{runtime::Handle, sync::mpsc};

use super::{
    AdmissionDesk, Bootstrap, CellDirectory, MemberTable, RequestCount, RetryDesk, RouteTable,
    SettingsKeeper, Shutdown, TargetAnnouncement, TargetBreaker, TargetSlot, TicketDesk, target_up,
    ticket_limits,
};
use crate::{
    connection::{PeerLinks, TargetClient},
    version::{ServingTable, SettingsVersionInForce},
};

/// Connections to the target that are kept open while idle, at most.
const MAX_IDLE_TARGET_CONNECTIONS: usize = 1_024;

/// The state of a process that its traffic threads and its control thread share.
pub struct Node {
    /// What the process was started with.
    pub bootstrap: Bootstrap,
    /// The slices that this node holds.
    pub serving: ServingTable,
    /// What this node knows about its cell.
    pub view: ArcSwap<CellView>,
    /// The settings.
    pub settings: SettingsKeeper,
    /// The target beside this node.
    pub target: TargetSlot,
    /// The connections to the target.
    pub target_client: TargetClient,
    /// The circuit breaker in front of the target.
    pub target_breaker: TargetBreaker,
    /// Admission to the target.
    pub admission: AdmissionDesk,
    /// The tickets of the held slices.
    pub tickets: TicketDesk,
    /// The connections to other nodes.
    pub peers: PeerLinks,
    /// Hints on who owns which key.
    pub routes: RouteTable,
    /// Whom to ask for the routes of other services.
    pub directory: CellDirectory,
    /// The members of services that are not divided by key.
    pub members: MemberTable,
    /// The retry budget.
    pub retries: RetryDesk,
    /// The requests of callers and other nodes in progress.
    pub requests: RequestCount,
    /// How far the stop of the process has come.
    pub shutdown: Shutdown,
    /// The metrics.
    pub metrics: PrometheusHandle,
    incarnation: Incarnation,
    events: mpsc::UnboundedSender<Event>,
    next_request: AtomicU64,
}

/// What a node is made of.
pub struct NodeParts {
    /// What the process was started with.
    pub bootstrap: Bootstrap,
    /// The settings in force at the start.
    pub settings: SettingsVersionInForce,
    /// The rows of cells.
    pub cell_store: CellStore,
    /// The life of the process.
    pub incarnation: Incarnation,
    /// Takes events to the control thread.
    pub events: mpsc::UnboundedSender<Event>,
    /// The traffic threads.
    pub runtime: Handle,
    /// The metrics.
    pub metrics: PrometheusHandle,
}

impl Node {
    /// Creates the state of a process that has just started.
    pub fn new(parts: NodeParts) -> anyhow::Result<Self> {
        let settings = parts.settings;
        let service = settings.service_or_root(parts.bootstrap.service_id()).clone();
        let unknown_cell = CellView {
            term: Term(0),
            coordinator: None,
            witnesses: Vec::new(),
            row: None,
            members: Vec::new(),
        };
        Ok(Self {
            serving: ServingTable::default(),
            view: ArcSwap::from_pointee(unknown_cell),
            target: TargetSlot::default(),
            target_client: TargetClient::new(MAX_IDLE_TARGET_CONNECTIONS)?,
            target_breaker: TargetBreaker::new(&service),
            admission: AdmissionDesk::new(admission_limits(&service, None)),
            tickets: TicketDesk::new(ticket_limits(&service)),
            peers: PeerLinks::new(parts.runtime),
            routes: RouteTable::default(),
            directory: CellDirectory::new(parts.cell_store),
            members: MemberTable::default(),
            retries: RetryDesk::new(service.retry_budget_percent),
            requests: RequestCount::default(),
            shutdown: Shutdown::new(),
            settings: SettingsKeeper::new(settings),
            bootstrap: parts.bootstrap,
            metrics: parts.metrics,
            incarnation: parts.incarnation,
            events: parts.events,
            next_request: AtomicU64::new(1),
        })
    }

    /// The VM.
    pub fn vm(&self) -> VmId {
        self.bootstrap.vm()
    }

    /// The life of the process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The cell that the target beside this node belongs to.
    pub fn cell(&self) -> CellId {
        CellId::new(self.bootstrap.service_id(), 0)
    }

    /// Tells the control thread of an event.
    pub fn tell(&self, event: Event) {
        // The control thread ends only with the process.
        let _ = self.events.send(event);
    }

    /// A new id of a request that entered here.
    pub fn next_request_id(&self) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{:x}-{:x}-{number:x}", self.vm().bits(), self.incarnation.0)
    }

    /// Records that the target is gone.
    pub fn target_lost(&self, reason: &'static str) {
        if self.target.remove() {
            log::warn!(event = "target_down", reason = reason; "the target is gone");
            self.tell(Event::TargetDown);
        }
    }

    /// Begins to drain: slices move away, and the node is no longer ready.
    pub fn begin_drain(&self, reason: &'static str) {
        if self.target.begin_drain() {
            log::info!(event = "drain_started", reason = reason; "the target is leaving");
            self.tell(Event::Drain);
        }
    }

    /// Takes an announcement of the target in.
    pub fn target_announced(&self, announcement: TargetAnnouncement) {
        let event = target_up(&announcement);
        if !self.target.announce(announcement) {
            return;
        }
        log::info!(event = "target_up"; "the target announced itself");
        let settings = self.settings.current();
        let service = settings.service_or_root(self.bootstrap.service_id());
        self.target_breaker.reset(service);
        self.admission.restart();
        self.admission.set_limits(admission_limits(service, self.target.current().as_deref()));
        self.tell(event);
    }

    /// Puts what the settings say of the node itself in force, and tells the control thread.
    pub fn apply_settings(&self) {
        let settings = self.settings.current();
        let service = settings.service_or_root(self.bootstrap.service_id());
        self.retries.set_share_percent(service.retry_budget_percent);
        self.tickets.set_limits(ticket_limits(service));
        self.admission.set_limits(admission_limits(service, self.target.current().as_deref()));
        self.tell(Event::WeightsChanged(service.planner_weights()));
        let (in_force, highest) = (self.settings.version(), self.settings.highest_seen());
        self.tell(Event::SettingsSeen { in_force, highest });
    }

    /// Whether this node can serve its part: the target is up, the settings are current, and it
    /// holds a live lease or is a member of a service that is not divided by key.
    pub fn readiness(&self) -> Readiness {
        if self.target.is_draining() {
            return Readiness::Draining;
        }
        if self.target.current().is_none() {
            return Readiness::NoTarget;
        }
        if self.settings.is_behind() {
            return Readiness::SettingsBehind;
        }
        let held = self.serving.current();
        let has_lease = held.held().cell.is_some() && super::boot_now() < held.held().expires_at;
        if !has_lease {
            return Readiness::NoLease;
        }
        Readiness::Ready
    }
}

/// Whether a node can serve its part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// It can.
    Ready,
    /// It is leaving.
    Draining,
    /// No target has announced itself.
    NoTarget,
    /// It waits for a newer version of the settings.
    SettingsBehind,
    /// It holds no live lease.
    NoLease,
}

impl Readiness {
    /// The word in answers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::NoTarget => "no-target",
            Self::SettingsBehind => "settings-behind",
            Self::NoLease => "no-lease",
        }
    }
}

fn admission_limits(
    settings: &EffectiveSettings,
    target: Option<&TargetAnnouncement>,
) -> AdmissionLimits {
    let slots = target.map_or(settings.slots, |it| it.slots.min(settings.slots));
    AdmissionLimits {
        slots: slots.max(1),
        queue_limit: settings.queue_limit,
        queue_wait_ms: settings.queue_wait_ms,
        retry_after_ms: settings.retry_after_ms,
        ramp_up_ms: settings.ramp_up_ms,
    }
}
