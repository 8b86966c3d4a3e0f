//! One VM: a clock, a node in its present life, and a target.

use std::{collections::VecDeque, time::Duration};

use galenastream_ownership::{
    Action, BootInstant, ControlMessage, Event, FastSet, HeldSlice, HeldSlices, Incarnation,
    KeyHash, Member, NodeConfig, OwnershipNode, PlantedFault, SettingsVersion, SliceEpoch, VmId,
};

use super::NodeClock;

#[derive(Debug)]
pub struct Machine {
    pub clock: NodeClock,
    pub config: NodeConfig,
    pub checks_grants: bool,
    pub planted: Option<PlantedFault>,
    pub slots: u32,
    /// `None` while the node is dead.
    pub node: Option<OwnershipNode>,
    /// Until when the node gets no events, in true time.
    pub paused_until_ns: u64,
    /// Pause for so long between the next event and the sending.
    pub pause_next_output_ns: Option<u64>,
    pub inbox: VecDeque<Event>,
    pub target_up: bool,
    pub draining: bool,
    pub settings: SettingsVersion,
    pub planned_wakeup: Option<BootInstant>,
    /// Whether the last event changed what the node holds.
    pub held_changed: bool,
    /// What the node held at its last event; also after its death.
    held: HeldSlices,
    /// What the target may still work on although the node no longer holds it.
    tails: Vec<Holding>,
    released: FastSet<SliceEpoch>,
}

/// A range of positions that a member holds until its clock shows `until`.
#[derive(Debug, Clone, Copy)]
pub struct Holding {
    pub member: Member,
    pub id: SliceEpoch,
    pub first: KeyHash,
    pub last: KeyHash,
    pub until: BootInstant,
}

impl Machine {
    pub fn new(
        clock: NodeClock,
        config: NodeConfig,
        checks_grants: bool,
        planted: Option<PlantedFault>,
    ) -> Self {
        Self {
            clock,
            config,
            checks_grants,
            planted,
            slots: 20,
            node: None,
            paused_until_ns: 0,
            pause_next_output_ns: None,
            inbox: VecDeque::new(),
            target_up: false,
            draining: false,
            settings: SettingsVersion(0),
            planned_wakeup: None,
            held_changed: false,
            held: HeldSlices::default(),
            tails: Vec::new(),
            released: FastSet::default(),
        }
    }

    pub fn vm(&self) -> VmId {
        self.config.member.vm
    }

    pub fn life(&self) -> Incarnation {
        self.config.member.incarnation
    }

    /// Starts the node's next life, above `known`.
    pub fn start(&mut self, now_ns: u64, known: Incarnation) {
        self.kill();
        let life = Incarnation(self.life().max(known).0 + 1);
        self.config.member.incarnation = life;
        self.config.seed = self.config.seed.wrapping_add(1);
        self.held = HeldSlices::default();
        let node = OwnershipNode::new(self.config.clone(), self.clock.boot(now_ns));
        self.node = Some(match self.planted {
            Some(fault) => node.with_planted_fault(fault),
            None => node,
        });
    }

    /// The node loses its memory. What it held stays held until the leases end.
    pub fn kill(&mut self) {
        self.node = None;
        self.inbox.clear();
        self.planned_wakeup = None;
        self.pause_next_output_ns = None;
        self.target_up = false;
        self.draining = false;
        let leftover: Vec<Holding> =
            self.held.slices.iter().map(|it| self.holding(it, self.held.expires_at)).collect();
        self.tails.extend(leftover);
        self.held = HeldSlices::default();
    }

    /// Lets the node handle an event; an error tells what it must not do.
    pub fn handle(&mut self, now_ns: u64, event: Event) -> Result<Vec<Action>, String> {
        let now = self.clock.boot(now_ns);
        let stopped = match event {
            Event::SliceStopped(id) => Some(id),
            _ => None,
        };
        let Some(node) = &mut self.node else { return Ok(Vec::new()) };
        let mut actions = Vec::new();
        node.handle(now, event, &mut actions);
        self.held_changed = *node.held_slices() != self.held;
        if self.held_changed {
            let held = node.held_slices().clone();
            let before = std::mem::replace(&mut self.held, held);
            self.keep_tails(now, &before, stopped);
        }
        self.check_released(&actions)?;
        Ok(actions)
    }

    /// The target may go on with orders that it got under the leases as they were before.
    fn keep_tails(&mut self, now: BootInstant, before: &HeldSlices, stopped: Option<SliceEpoch>) {
        if let Some(stopped) = before.slices.iter().find(|it| Some(it.id) == stopped) {
            self.end_work(stopped);
        }
        let is_shorter = self.held.expires_at < before.expires_at;
        for slice in &before.slices {
            let is_kept = self.held.slices.iter().any(|it| it.id == slice.id);
            if (is_kept && !is_shorter) || stopped == Some(slice.id) {
                continue;
            }
            self.tails.push(self.holding(slice, before.expires_at));
        }
        self.tails.retain(|it| now < it.until);
    }

    /// Nothing is in progress at the positions of a stopped slice, whatever slice it began under.
    fn end_work(&mut self, stopped: &HeldSlice) {
        let member = self.config.member;
        let tails = std::mem::take(&mut self.tails);
        for tail in tails {
            let apart = tail.last < stopped.first || stopped.last < tail.first;
            if apart || tail.member != member {
                self.tails.push(tail);
                continue;
            }
            if tail.first < stopped.first {
                self.tails.push(Holding { last: KeyHash(stopped.first.0 - 1), ..tail });
            }
            if stopped.last < tail.last {
                self.tails.push(Holding { first: KeyHash(stopped.last.0 + 1), ..tail });
            }
        }
    }

    fn check_released(&mut self, actions: &[Action]) -> Result<(), String> {
        for action in actions {
            let Action::Send { message: ControlMessage::Beat(beat), .. } = action else { continue };
            self.released.extend(&beat.released);
        }
        match self.held.slices.iter().find(|it| self.released.contains(&it.id)) {
            Some(slice) => Err(format!("{} holds {slice:?}, released before", self.config.member)),
            None => Ok(()),
        }
    }

    /// Orders of a target that does not check grants may run on for a while.
    fn holding(&self, slice: &HeldSlice, expires_at: BootInstant) -> Holding {
        let tail_ms = if self.checks_grants { 0 } else { self.config.timing.order_limit_ms };
        Holding {
            member: self.config.member,
            id: slice.id,
            first: slice.first,
            last: slice.last,
            until: expires_at + Duration::from_millis(tail_ms.into()),
        }
    }

    /// What the target may work on now.
    pub fn holdings(&self, now_ns: u64) -> impl Iterator<Item = Holding> {
        let now = self.clock.boot(now_ns);
        let held = self.held.slices.iter().map(|it| self.holding(it, self.held.expires_at));
        held.chain(self.tails.iter().copied()).filter(move |it| now < it.until)
    }

    /// Whether a request for the position that arrives now is handed to the target.
    pub fn serves(&self, hash: KeyHash, now_ns: u64) -> bool {
        let runs = self.node.is_some() && self.target_up && now_ns >= self.paused_until_ns;
        runs && self.held.serving(hash, self.clock.boot(now_ns)).is_some()
    }
}
