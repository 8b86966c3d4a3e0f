//! Embeds the ownership state machines without the daemon.
//!
//! Four nodes share a table of one row. The program is their clock, their network and their table:
//! it feeds each node events and carries out the actions that come back. It then loses the owner of
//! a key and shows who owns the key afterwards, and from when on.
//!
//! Run it by `cargo run --example embed_ownership`.

use std::{collections::BTreeMap, time::Duration};

use galenastream::ownership::{
    Action, BootInstant, CellId, Event, FastMap, Incarnation, KeyHash, Member, NodeConfig,
    OwnershipEvent, OwnershipNode, PlaceId, RowVersion, ServiceId, StoreOperation, StoreReply,
    StoredRow, Timing, VmId,
};

const KEY: &[u8] = b"frame-1";
const PLACES: [&str; 4] = ["west", "east", "north", "south"];
/// How long a message or an answer of the table is on its way.
const TRANSIT: Duration = Duration::from_millis(1);
const SETTLE: Duration = Duration::from_secs(3);
/// How often the program looks for the new owner.
const LOOK: Duration = Duration::from_millis(1);

fn main() {
    let mut deployment = Deployment::new();
    deployment.run_for(SETTLE);
    let Some(owner) = deployment.owner() else {
        println!("nobody owns the key yet");
        return;
    };
    println!("{} ms: {owner} owns the key", deployment.elapsed_ms());

    deployment.lose(owner);
    let lost_at_ms = deployment.elapsed_ms();
    println!("{lost_at_ms} ms: {owner} is lost");
    while deployment.owner().is_none() && deployment.elapsed_ms() < lost_at_ms + 10_000 {
        deployment.run_for(LOOK);
    }
    match deployment.owner() {
        Some(owner) => println!("{} ms: {owner} owns the key", deployment.elapsed_ms()),
        None => println!("{} ms: still nobody owns the key", deployment.elapsed_ms()),
    }
}

/// Four nodes, their network, their table and their clock.
struct Deployment {
    now: BootInstant,
    nodes: FastMap<VmId, OwnershipNode>,
    row: Option<StoredRow>,
    /// What is on its way, by the time of arrival.
    deliveries: BTreeMap<(BootInstant, u64), Delivery>,
    next_delivery: u64,
}

/// An event on its way to a node.
struct Delivery {
    to: VmId,
    event: Event,
}

impl Deployment {
    fn new() -> Self {
        let mut deployment = Self {
            now: BootInstant::new(0),
            nodes: FastMap::default(),
            row: None,
            deliveries: BTreeMap::new(),
            next_delivery: 0,
        };
        for (index, place) in PLACES.iter().enumerate() {
            let config = config(index, place);
            let vm = config.member.vm;
            deployment.nodes.insert(vm, OwnershipNode::new(config, deployment.now));
            deployment.send(vm, Event::TargetUp { slots: 20, checks_grants: true });
        }
        deployment
    }

    /// The VM that may serve the key now, by its own lease.
    fn owner(&self) -> Option<VmId> {
        let hash = KeyHash::of(KEY);
        for (vm, node) in &self.nodes {
            let held = node.held_slices();
            let holds = held.slices.iter().any(|it| it.first <= hash && hash <= it.last);
            if holds && self.now < held.expires_at {
                return Some(*vm);
            }
        }
        None
    }

    fn lose(&mut self, vm: VmId) {
        self.nodes.remove(&vm);
    }

    fn elapsed_ms(&self) -> u64 {
        self.now.as_ns() / 1_000_000
    }

    /// Handles what falls due within a duration, in the order of time.
    fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        loop {
            let arrival = self.deliveries.first_key_value().map(|(&(at, _), _)| at);
            let wakeup = self.next_wakeup();
            let due = [arrival, wakeup.map(|(at, _)| at)].into_iter().flatten().min();
            let Some(due) = due.filter(|&due| due <= end) else {
                break;
            };
            self.now = self.now.max(due);
            if arrival == Some(due) {
                self.deliver_next();
            } else if let Some((_, vm)) = wakeup {
                self.handle(vm, Event::Wakeup);
            }
        }
        self.now = end;
    }

    fn next_wakeup(&self) -> Option<(BootInstant, VmId)> {
        let wakeups = self.nodes.iter();
        wakeups.filter_map(|(vm, node)| Some((node.next_wakeup()?, *vm))).min()
    }

    fn deliver_next(&mut self) {
        if let Some((_, delivery)) = self.deliveries.pop_first() {
            self.handle(delivery.to, delivery.event);
        }
    }

    fn send(&mut self, to: VmId, event: Event) {
        let arrival = (self.now + TRANSIT, self.next_delivery);
        self.next_delivery += 1;
        self.deliveries.insert(arrival, Delivery { to, event });
    }

    /// Feeds an event to a node, unless it is lost, and carries its actions out.
    fn handle(&mut self, vm: VmId, event: Event) {
        let Some(node) = self.nodes.get_mut(&vm) else {
            return;
        };
        let mut actions = Vec::new();
        node.handle(self.now, event, &mut actions);
        for action in actions {
            self.carry_out(vm, action);
        }
    }

    fn carry_out(&mut self, vm: VmId, action: Action) {
        match action {
            Action::Send { to, message } => self.send(to, Event::Message { from: vm, message }),
            Action::Store { request, operation } => {
                let reply = self.store(operation);
                self.send(vm, Event::Store { request, reply });
            }
            // No request is ever in progress here, so a slice stops at once.
            Action::StopSlice(id) => self.send(vm, Event::SliceStopped(id)),
            Action::Log(OwnershipEvent::TermTaken { term, .. }) => {
                println!("{} ms: {vm} is the coordinator of term {}", self.elapsed_ms(), term.0);
            }
            // A program with traffic publishes the slices and routes to its threads here.
            _ => {}
        }
    }

    /// The table: a write takes effect only if the row has the expected version.
    fn store(&mut self, operation: StoreOperation) -> StoreReply {
        match operation {
            StoreOperation::Read { .. } => StoreReply::Row(self.row.clone()),
            StoreOperation::Write { expected, write, row } => {
                if self.row.as_ref().map(|stored| stored.version) != expected {
                    return StoreReply::Conflict;
                }
                let version = RowVersion(expected.map_or(0, |version| version.0) + 1);
                self.row = Some(StoredRow { version, write, row });
                StoreReply::Written(version)
            }
        }
    }
}

fn config(index: usize, place: &str) -> NodeConfig {
    let number = index as u64 + 1;
    let vm = VmId::from(std::net::SocketAddrV4::new([10, 0, 0, number as u8].into(), 7_400));
    NodeConfig {
        member: Member::new(vm, Incarnation(1)),
        place: PlaceId::from_name(place),
        cell: CellId::new(ServiceId::from_name("catalogue"), 0),
        divided_by_key: true,
        initial_slices: 64,
        timing: Timing::default(),
        seed: number,
    }
}
