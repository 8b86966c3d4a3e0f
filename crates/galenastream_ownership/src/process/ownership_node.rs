//! The control state of one node: leases of its target, and its roles in the cell.

use std::collections::VecDeque;

use crate::{
    Action, BootInstant, CellView, ControlMessage, Event, HeldSlices, NodeConfig, VmId,
    process::{Context, Counters, Outbox, Roles},
};

/// The control state of one node. All roles live in it: holder, coordinator, witness, candidate.
///
/// Feed it every event with the time, carry out the actions, and wake it at `next_wakeup`.
#[derive(Debug)]
pub struct OwnershipNode {
    config: NodeConfig,
    roles: Roles,
    counters: Counters,
    local: VecDeque<ControlMessage>,
}

/// How many messages of the node to itself one event may cause.
const LOCAL_MESSAGES_MAX: u32 = 64;

impl OwnershipNode {
    /// Creates the control state of a node that has just started.
    pub fn new(config: NodeConfig, now: BootInstant) -> Self {
        let context = Context::new(&config);
        Self {
            roles: Roles::new(context, &config, now),
            counters: Counters::new(config.member, config.seed),
            local: VecDeque::new(),
            config,
        }
    }

    /// Leaves out a rule of the protocol, to prove that a test notices. For a node that has
    /// handled no event yet.
    #[cfg(feature = "planted-faults")]
    pub fn with_planted_fault(self, fault: crate::PlantedFault) -> Self {
        let mut context = *self.roles.context();
        context.faults = context.faults.with(fault);
        Self { roles: Roles::new(context, &self.config, self.roles.now()), ..self }
    }

    /// Handles an event and appends what is to be done to `actions`.
    pub fn handle(&mut self, now: BootInstant, event: Event, actions: &mut Vec<Action>) {
        let Self { roles, counters, local, config } = self;
        roles.handle(now, event, &mut Outbox::new(actions, local, counters));
        roles.advance(now, &mut Outbox::new(actions, local, counters));
        for _ in 0..LOCAL_MESSAGES_MAX {
            let Some(message) = local.pop_front() else {
                break;
            };
            let mut out = Outbox::new(actions, local, counters);
            roles.handle_message(now, config.member.vm, message, &mut out);
            roles.advance(now, &mut out);
        }
        local.clear();
        roles.publish(&mut Outbox::new(actions, local, counters));
    }

    /// When `Event::Wakeup` is due.
    pub fn next_wakeup(&self) -> Option<BootInstant> {
        self.roles.next_wakeup()
    }

    /// The slices that this node holds.
    pub fn held_slices(&self) -> &HeldSlices {
        self.roles.held_slices()
    }

    /// What this node knows about its cell.
    pub fn cell_view(&self) -> CellView {
        self.roles.cell_view()
    }

    /// The VM of the node.
    pub fn vm(&self) -> VmId {
        self.config.member.vm
    }

    /// What the node was created with.
    pub fn config(&self) -> &NodeConfig {
        &self.config
    }
}
