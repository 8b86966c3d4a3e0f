//! Measures what the control of ownership costs each role, and how that grows with a cell.
//!
//! Real state machines exchange encoded messages under virtual time; only their own work is timed.
//! Run it by `cargo run --release --example measure_ownership`.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use galenastream::{
    ownership::{
        Action, BootInstant, CellId, CellRow, Event, FastMap, Incarnation, Member, NodeConfig,
        OwnershipNode, PlaceId, RowVersion, ServiceId, StoreOperation, StoreReply, StoredRow,
        Timing, VmId,
    },
    wire::{decode_control, encode_control, encode_row},
};

/// Bytes of the UDP and IPv4 headers of a datagram.
const HEADER_BYTES: u64 = 28;

const SLICES_PER_TARGET: u32 = 64;
const PLACES: u32 = 4;
const SETTLE: Duration = Duration::from_secs(60);
const MEASURED: Duration = Duration::from_secs(30);

fn main() {
    println!(
        "{:>8}{:>9}{:>11}  {:<12}{:>11}{:>11}{:>11}{:>11}",
        "targets", "slices", "row bytes", "role", "sent B/s", "recv B/s", "msgs/s", "core %"
    );
    for targets in [4, 16, 64, 256, 1_000] {
        let mut cell = Cell::new(targets);
        cell.run_for(SETTLE);
        cell.costs = vec![Cost::default(); cell.nodes.len()];
        cell.run_for(MEASURED);
        cell.print();
    }
}

/// What one node did while it was measured.
#[derive(Debug, Clone, Copy, Default)]
struct Cost {
    sent_bytes: u64,
    received_bytes: u64,
    messages: u64,
    busy: Duration,
}

/// The nodes of one cell and their table row.
struct Cell {
    nodes: Vec<OwnershipNode>,
    costs: Vec<Cost>,
    by_vm: FastMap<VmId, usize>,
    row: Option<StoredRow>,
    now: BootInstant,
}

/// An event on its way to a node.
struct Delivery {
    to: usize,
    event: Event,
}

impl Cell {
    fn new(targets: u32) -> Self {
        let now = BootInstant::new(1);
        let mut cell = Self {
            nodes: Vec::new(),
            costs: vec![Cost::default(); targets as usize],
            by_vm: FastMap::default(),
            row: None,
            now,
        };
        for index in 0..targets {
            let vm = VmId::from_bits(0x0a00_0000_0000 + (u64::from(index) << 16) + 7_000);
            cell.by_vm.insert(vm, cell.nodes.len());
            cell.nodes.push(OwnershipNode::new(config(vm, index, targets), now));
        }
        for index in 0..cell.nodes.len() {
            let event = Event::TargetUp { slots: 20, checks_grants: true };
            cell.deliver(Delivery { to: index, event });
        }
        cell
    }

    fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some((to, at)) = self.next_wakeup() {
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            self.deliver(Delivery { to, event: Event::Wakeup });
        }
        self.now = end;
    }

    fn next_wakeup(&self) -> Option<(usize, BootInstant)> {
        let wakeups = self.nodes.iter().enumerate();
        wakeups.filter_map(|(to, node)| Some((to, node.next_wakeup()?))).min_by_key(|it| it.1)
    }

    /// Delivers an event and all that follows from it.
    fn deliver(&mut self, first: Delivery) {
        let mut deliveries = VecDeque::from([first]);
        while let Some(Delivery { to, event }) = deliveries.pop_front() {
            let mut actions = Vec::new();
            let started = Instant::now();
            self.nodes[to].handle(self.now, event, &mut actions);
            self.costs[to].busy += started.elapsed();
            for action in actions {
                deliveries.extend(self.carry_out(to, action));
            }
        }
    }

    fn carry_out(&mut self, from: usize, action: Action) -> Option<Delivery> {
        match action {
            Action::Send { to, message } => {
                let started = Instant::now();
                let bytes = encode_control(&message);
                self.costs[from].busy += started.elapsed();
                self.costs[from].sent_bytes += bytes.len() as u64 + HEADER_BYTES;
                self.costs[from].messages += 1;
                let to = *self.by_vm.get(&to)?;
                let started = Instant::now();
                let message = decode_control(&bytes).ok()?;
                self.costs[to].busy += started.elapsed();
                self.costs[to].received_bytes += bytes.len() as u64 + HEADER_BYTES;
                let from = self.nodes[from].config().member.vm;
                Some(Delivery { to, event: Event::Message { from, message } })
            }
            Action::Store { request, operation } => {
                let reply = self.store(operation);
                Some(Delivery { to: from, event: Event::Store { request, reply } })
            }
            Action::StopSlice(id) => Some(Delivery { to: from, event: Event::SliceStopped(id) }),
            _ => None,
        }
    }

    fn store(&mut self, operation: StoreOperation) -> StoreReply {
        match operation {
            StoreOperation::Read { .. } => StoreReply::Row(self.row.clone()),
            StoreOperation::Write { expected, write, row } => {
                let stored = self.row.as_ref().map(|it| it.version);
                if stored != expected {
                    return StoreReply::Conflict;
                }
                let version = RowVersion(stored.map_or(1, |it| it.0 + 1));
                self.row = Some(StoredRow { version, write, row });
                StoreReply::Written(version)
            }
        }
    }

    fn print(&self) {
        let Some(stored) = &self.row else {
            println!("the cell has no row");
            return;
        };
        for role in Role::ALL {
            let nodes: Vec<usize> =
                (0..self.nodes.len()).filter(|it| self.role(*it, &stored.row) == role).collect();
            if !nodes.is_empty() {
                self.print_role(role, &nodes, &stored.row);
            }
        }
    }

    fn role(&self, node: usize, row: &CellRow) -> Role {
        let member = self.nodes[node].config().member;
        if row.coordinator == member {
            Role::Coordinator
        } else if row.witnesses.contains(member) {
            Role::Witness
        } else {
            Role::Plain
        }
    }

    fn print_role(&self, role: Role, nodes: &[usize], row: &CellRow) {
        let each_second = |sum: f64| sum / nodes.len() as f64 / MEASURED.as_secs_f64();
        let costs = || nodes.iter().map(|it| self.costs[*it]);
        let busy: Duration = costs().map(|it| it.busy).sum();
        println!(
            "{:>8}{:>9}{:>11}  {:<12}{:>11.0}{:>11.0}{:>11.1}{:>11.4}",
            self.nodes.len(),
            row.slices.len(),
            encode_row(row).len(),
            role.name(),
            each_second(costs().map(|it| it.sent_bytes as f64).sum()),
            each_second(costs().map(|it| it.received_bytes as f64).sum()),
            each_second(costs().map(|it| it.messages as f64).sum()),
            each_second(busy.as_secs_f64()) * 100.0,
        );
    }
}

/// The role of a node in its cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    Coordinator,
    Witness,
    Plain,
}

impl Role {
    const ALL: [Self; 3] = [Self::Coordinator, Self::Witness, Self::Plain];

    fn name(self) -> &'static str {
        match self {
            Self::Coordinator => "coordinator",
            Self::Witness => "witness",
            Self::Plain => "plain",
        }
    }
}

fn config(vm: VmId, index: u32, targets: u32) -> NodeConfig {
    NodeConfig {
        member: Member::new(vm, Incarnation(1)),
        place: PlaceId(index % PLACES),
        cell: CellId::new(ServiceId::from_name("catalogue"), 0),
        divided_by_key: true,
        initial_slices: SLICES_PER_TARGET * targets,
        timing: Timing::default(),
        seed: u64::from(index),
    }
}
