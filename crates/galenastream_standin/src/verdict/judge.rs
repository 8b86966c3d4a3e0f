//! Collects the logs of all targets of a run, and judges them.

use galenastream_ownership::FastMap;

use super::{Breach, Tenure};
use crate::{TargetEvent, TargetEventKind};

/// Collects the logs of all targets of a run, and judges them.
///
/// The targets must belong to one service, since slices and tickets are counted within it, and
/// their boot clocks must be the same one, which they are on one machine.
#[derive(Debug, Clone, Default)]
pub struct Judge {
    events: Vec<TargetEvent>,
}

impl Judge {
    /// Creates a judge without events.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds events.
    pub fn with_events(mut self, events: Vec<TargetEvent>) -> Self {
        self.events.extend(events);
        self
    }

    /// Adds what a target wrote to its standard output. Skips lines that are no events.
    pub fn with_output(mut self, output: &str) -> Self {
        for line in output.lines() {
            let Ok(event) = serde_json::from_str(line) else {
                continue;
            };
            self.events.push(event);
        }
        self
    }

    /// How many orders ran.
    pub fn committed(&self) -> usize {
        self.committed_events().count()
    }

    /// Whether an order ran for a request.
    pub fn has_run(&self, request_id: &str) -> bool {
        self.committed_events().any(|it| it.request_id == request_id)
    }

    /// How often an order with a ticket ran.
    pub fn runs_of_ticket(&self, ticket: &str) -> usize {
        self.committed_events().filter(|it| it.ticket == ticket).count()
    }

    /// All breaches that the logs show.
    pub fn breaches(&self) -> Vec<Breach> {
        let mut breaches = self.overlapping_tenures();
        breaches.extend(self.shared_epochs());
        breaches.extend(self.tickets_run_twice());
        breaches
    }

    fn committed_events(&self) -> impl Iterator<Item = &TargetEvent> {
        self.events.iter().filter(|it| it.event == TargetEventKind::Committed)
    }

    fn overlapping_tenures(&self) -> Vec<Breach> {
        let mut tenures_by_key: FastMap<&str, Vec<Tenure>> = FastMap::default();
        for event in self.committed_events() {
            extend_tenure(tenures_by_key.entry(&event.key).or_default(), event);
        }
        let mut breaches = Vec::new();
        for (key, mut tenures) in tenures_by_key {
            tenures.sort_by_key(|it| it.first_boot_ns);
            for (index, first) in tenures.iter().enumerate() {
                for second in &tenures[index + 1..] {
                    if may_follow(first, second) {
                        continue;
                    }
                    breaches.push(Breach::OverlappingTenures {
                        key: key.to_owned(),
                        first: first.clone(),
                        second: second.clone(),
                    });
                }
            }
        }
        breaches
    }

    fn shared_epochs(&self) -> Vec<Breach> {
        let mut targets: FastMap<(u32, u64), &str> = FastMap::default();
        let mut breaches = Vec::new();
        for event in self.committed_events() {
            let (Some(slice), Some(epoch)) = (event.slice, event.epoch) else {
                continue;
            };
            let known = *targets.entry((slice, epoch)).or_insert(&event.target);
            if known == event.target {
                continue;
            }
            let targets = [known.to_owned(), event.target.clone()];
            breaches.push(Breach::SharedEpoch { slice, epoch, targets });
        }
        breaches
    }

    fn tickets_run_twice(&self) -> Vec<Breach> {
        let mut requests: FastMap<&str, &str> = FastMap::default();
        let mut breaches = Vec::new();
        for event in self.committed_events() {
            if event.ticket.is_empty() {
                continue;
            }
            if let Some(known) = requests.insert(&event.ticket, &event.request_id) {
                breaches.push(Breach::TicketTwice {
                    ticket: event.ticket.clone(),
                    key: event.key.clone(),
                    request_ids: [known.to_owned(), event.request_id.clone()],
                });
            }
        }
        breaches
    }
}

fn extend_tenure(tenures: &mut Vec<Tenure>, event: &TargetEvent) {
    for tenure in tenures.iter_mut() {
        let same_assignment = tenure.target == event.target
            && tenure.slice == event.slice
            && tenure.epoch == event.epoch;
        if !same_assignment {
            continue;
        }
        tenure.first_boot_ns = tenure.first_boot_ns.min(event.started_boot_ns);
        tenure.last_boot_ns = tenure.last_boot_ns.max(event.boot_ns);
        return;
    }
    tenures.push(Tenure {
        target: event.target.clone(),
        slice: event.slice,
        epoch: event.epoch,
        first_boot_ns: event.started_boot_ns,
        last_boot_ns: event.boot_ns,
    });
}

/// Whether a tenure may begin after another one did.
///
/// A split gives the positions of a slice to new slices of the same owner, which goes on with the
/// requests in progress: its two tenures may overlap, as no other target works on the key.
fn may_follow(first: &Tenure, second: &Tenure) -> bool {
    let is_over = first.last_boot_ns < second.first_boot_ns;
    let is_split = first.target == second.target && first.slice != second.slice;
    (is_over || is_split) && !epoch_falls(first, second)
}

/// Whether the later tenure has an older epoch of the same slice.
fn epoch_falls(first: &Tenure, second: &Tenure) -> bool {
    first.slice == second.slice && second.epoch < first.epoch
}
