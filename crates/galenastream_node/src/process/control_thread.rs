//! The control thread: owns the ownership state of the node.

use std::{sync::Arc, time::Duration};

use galenastream_ownership::{
    Action, BootInstant, CellId, ControlMessage, Event, Incarnation, Member, NodeConfig,
    OwnershipNode, StoreOperation, StoreRequestId, VmId,
};
use galenastream_platform::CellStore;
use galenastream_wire::{decode_control, encode_control};
use tokio::{
    net::UdpSocket,
    sync::mpsc,
    time::{Instant, sleep_until},
};

use super::{Node, boot_now, counters, report_event};

/// The longest datagram that is sent or read.
const MAX_DATAGRAM_BYTES: usize = 65_507;

/// The longest sleep. The boot clock may run ahead of the timer's clock while the VM sleeps.
const MAX_SLEEP: Duration = Duration::from_millis(250);

/// The control thread: feeds the ownership state machine and carries out what it wants done.
pub struct ControlThread {
    node: Arc<Node>,
    ownership: OwnershipNode,
    socket: Arc<UdpSocket>,
    store: CellStore,
    events: mpsc::UnboundedReceiver<Event>,
    actions: Vec<Action>,
}

impl ControlThread {
    /// Creates the control state of a process that has just started.
    pub fn new(
        node: Arc<Node>,
        socket: UdpSocket,
        store: CellStore,
        events: mpsc::UnboundedReceiver<Event>,
    ) -> Self {
        let ownership = OwnershipNode::new(node_config(&node, node.incarnation()), boot_now());
        Self { node, ownership, socket: Arc::new(socket), store, events, actions: Vec::new() }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let socket = self.socket.clone();
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        self.publish_held();
        self.publish_routes();
        loop {
            let wakeup = wakeup_at(self.ownership.next_wakeup());
            tokio::select! {
                received = socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.receive(&buffer[..length], from),
                    Err(error) => log::debug!(event = "datagram_receive_failed"; "{error}"),
                },
                event = self.events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                () = sleep_until(wakeup) => {
                    if self.ownership.next_wakeup().is_some_and(|it| it <= boot_now()) {
                        self.handle(Event::Wakeup);
                    }
                }
            }
        }
    }

    fn receive(&mut self, bytes: &[u8], from: std::net::SocketAddr) {
        counters::control_bytes("received", bytes.len());
        let std::net::SocketAddr::V4(from) = from else {
            counters::datagram_dropped("foreign-address");
            return;
        };
        match decode_control(bytes) {
            Ok(message) => self.handle(Event::Message { from: VmId::from(from), message }),
            Err(error) => {
                counters::datagram_dropped("unreadable");
                log::debug!(event = "datagram_unreadable", from:% = from; "{error}");
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.ownership.handle(boot_now(), event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { to, message } => self.send(to, &message),
            Action::Store { request, operation } => self.ask_store(request, operation),
            Action::PublishHeld => self.publish_held(),
            Action::PublishRoutes(_) => self.publish_routes(),
            Action::StopSlice(id) => self.stop_slice(id),
            Action::FetchSettings { version, holder } => {
                self.node.settings.see(version, Some(holder));
            }
            Action::Restart { known } => self.restart(known),
            Action::Log(event) => report_event(&event),
        }
    }

    fn send(&self, to: VmId, message: &ControlMessage) {
        let bytes = encode_control(message);
        if bytes.len() > MAX_DATAGRAM_BYTES {
            counters::datagram_dropped("too-long");
            log::error!(event = "datagram_too_long", to:% = to, bytes = bytes.len(); "not sent");
            return;
        }
        counters::control_bytes("sent", bytes.len());
        // A datagram that the socket has no room for is lost like any other.
        if let Err(error) = self.socket.try_send_to(&bytes, to.address().into()) {
            log::debug!(event = "datagram_send_failed", to:% = to; "{error}");
        }
    }

    fn ask_store(&self, request: StoreRequestId, operation: StoreOperation) {
        let store = self.store.clone();
        let node = self.node.clone();
        tokio::spawn(async move {
            let reply = store.execute(operation).await;
            node.tell(Event::Store { request, reply });
        });
    }

    fn stop_slice(&self, id: galenastream_ownership::SliceEpoch) {
        // The stop is published before the requests in progress are counted.
        self.publish_held();
        let node = self.node.clone();
        tokio::spawn(async move {
            node.serving.wait_until_stopped(id).await;
            node.tell(Event::SliceStopped(id));
        });
    }

    fn publish_held(&self) {
        let held = self.ownership.held_slices();
        counters::held_slices(held.slices.len());
        log::debug!(
            event = "held_published",
            term = held.term.0,
            slices = held.slices.len(),
            stopping = held.slices.iter().filter(|it| it.stopping).count(),
            lease_remaining_ms = held.expires_at.saturating_since(boot_now()).as_millis() as u64;
            "published"
        );
        self.node.tickets.follow(held);
        self.node.serving.publish(held.clone());
    }

    fn publish_routes(&self) {
        self.node.view.store(Arc::new(self.ownership.cell_view()));
    }

    /// Starts the control state over in a later life. Nothing of the earlier one is kept.
    fn restart(&mut self, known: Incarnation) {
        let own = self.ownership.config().member.incarnation;
        let next = Incarnation(known.0.max(own.0) + 1);
        log::warn!(event = "incarnation_replaced", known = known.0, next = next.0; "starting over");
        self.ownership = OwnershipNode::new(node_config(&self.node, next), boot_now());
        self.publish_held();
        self.publish_routes();
        self.node.apply_settings();
        if let Some(target) = self.node.target.current() {
            self.node.tell(target_up(&target));
        }
        if self.node.target.is_draining() {
            self.node.tell(Event::Drain);
        }
    }
}

/// The event of a target that is up.
pub fn target_up(target: &super::TargetAnnouncement) -> Event {
    Event::TargetUp { slots: target.slots, checks_grants: target.checks_grants }
}

fn node_config(node: &Node, incarnation: Incarnation) -> NodeConfig {
    let settings = node.settings.current();
    let service = node.bootstrap.service_id();
    let effective = settings.service_or_root(service);
    NodeConfig {
        member: Member::new(node.vm(), incarnation),
        place: node.bootstrap.place_id(),
        cell: CellId::new(service, 0),
        divided_by_key: effective.divided_by_key,
        initial_slices: effective.initial_slices,
        timing: effective.timing(),
        seed: rand::random(),
    }
}

fn wakeup_at(due: Option<BootInstant>) -> Instant {
    let wait = due.map_or(MAX_SLEEP, |it| it.saturating_since(boot_now()));
    Instant::now() + wait.min(MAX_SLEEP)
}
