//! How faults befall a world.

use galenastream_ownership::{Event, KeyHash, Member, SettingsVersion, VmId};

use super::{Fault, Happening, MS, Pick, World, cell};

/// How many witnesses must be lost before an operator orders a takeover.
const LOST_WITNESSES_FOR_TAKEOVER: usize = 2;

impl World {
    pub(super) fn begin(&mut self, fault: Fault) {
        let after_ms = |it: u64| self.now_ns + it * MS;
        match fault {
            Fault::Pause { pick, for_ms, holding_output } => {
                let until_ns = after_ms(for_ms);
                let Some(index) = self.pick(pick) else { return };
                if holding_output {
                    self.machines[index].pause_next_output_ns = Some(for_ms * MS);
                } else {
                    self.pause(index, until_ns);
                }
            }
            Fault::Kill { pick, restart_after_ms } => {
                let restart_ns = restart_after_ms.map(after_ms);
                let Some(index) = self.pick(pick) else { return };
                self.machines[index].kill();
                let Some(restart_ns) = restart_ns else { return };
                let known = self.machines[index].life();
                self.agenda.schedule(restart_ns, Happening::Start { index, known });
            }
            Fault::Isolate { pick, for_ms } => {
                let until_ns = after_ms(for_ms);
                let Some(index) = self.pick(pick) else { return };
                self.separate(1 << index, until_ns);
            }
            Fault::CutPlace { place, for_ms } => {
                let until_ns = after_ms(for_ms);
                let id = self.machines[place % self.machines.len()].config.place;
                let members = self.machines.iter().enumerate();
                let inside = members.filter(|(_, it)| it.config.place == id);
                let group = inside.fold(0, |bits, (index, _)| bits | 1 << index);
                self.separate(group, until_ns);
            }
            Fault::Split { group, for_ms } => {
                let until_ns = after_ms(for_ms);
                let picked = group.iter().filter_map(|it| self.pick(*it));
                let group = picked.fold(0, |bits, index| bits | 1 << index);
                self.separate(group, until_ns);
            }
            Fault::CutOneWay { pivot, for_ms } => {
                let lower = (1 << pivot) - 1;
                self.network.cut(!lower, lower, after_ms(for_ms));
            }
            Fault::BadNetwork { loss_percent, delay_ms, for_ms } => {
                self.network.degrade(loss_percent, delay_ms, after_ms(for_ms));
            }
            Fault::StoreOutage { for_ms } => self.store.outage_until_ns = after_ms(for_ms),
            Fault::StoreSlow { delay_ms, for_ms } => {
                self.store.slow_delay_ms = delay_ms;
                self.store.slow_until_ns = after_ms(for_ms);
            }
            Fault::StoreCut { pick, for_ms } => {
                let until_ns = after_ms(for_ms);
                let Some(index) = self.pick(pick) else { return };
                self.store.cut = (index, until_ns);
            }
            Fault::StoreAnswersLost { for_ms } => {
                self.store.answers_lost_until_ns = after_ms(for_ms);
            }
            Fault::StoreLateEffects { delay_ms, for_ms } => {
                self.store.late_delay_ms = delay_ms;
                self.store.late_until_ns = after_ms(for_ms);
            }
            Fault::Drain(pick) => self.drain(pick),
            Fault::Move { hash, to } => self.order_move(hash, to),
            Fault::Takeover(pick) => self.order_takeover(pick),
            Fault::TargetRestart { pick, down_ms } => self.restart_target(pick, down_ms),
            Fault::ApplySettings => self.settings = SettingsVersion(self.settings.0 + 1),
        }
    }

    fn separate(&mut self, group: u64, until_ns: u64) {
        self.network.cut(group, !group, until_ns);
        self.network.cut(!group, group, until_ns);
    }

    /// At least two nodes are left that are not leaving.
    fn drain(&mut self, pick: Pick) {
        let Some(index) = self.pick(pick) else { return };
        let staying = self.machines.iter().filter(|it| it.node.is_some() && !it.draining).count();
        if staying > 2 {
            self.deliver(self.now_ns, index, None, Event::Drain);
        }
    }

    fn order_move(&mut self, hash: KeyHash, to: Pick) {
        let (Some(to), Some(coordinator)) = (self.pick(to), self.pick(Pick::Coordinator)) else {
            return;
        };
        let to = self.machines[to].vm();
        self.deliver(self.now_ns, coordinator, None, Event::Move { cell: cell(), hash, to });
    }

    fn order_takeover(&mut self, pick: Pick) {
        let Some(index) = self.pick(pick) else { return };
        if self.may_take_over() {
            self.deliver(self.now_ns, index, None, Event::Takeover { cell: cell() });
        }
    }

    /// Whether so many witnesses are lost that only an operator can replace the coordinator.
    pub fn may_take_over(&self) -> bool {
        let Some(stored) = &self.table.row else { return false };
        let witnesses = &stored.row.witnesses.witnesses;
        let lost = witnesses.iter().filter(|it| !self.is_alive(it.member)).count();
        lost >= LOST_WITNESSES_FOR_TAKEOVER
    }

    fn restart_target(&mut self, pick: Pick, down_ms: u64) {
        let Some(index) = self.pick(pick) else { return };
        let machine = &self.machines[index];
        let life = Some(machine.life());
        let up = Event::TargetUp { slots: machine.slots, checks_grants: machine.checks_grants };
        self.deliver(self.now_ns, index, life, Event::TargetDown);
        self.deliver(self.now_ns + down_ms * MS, index, life, up);
    }

    /// The live node that is picked now.
    pub fn pick(&self, pick: Pick) -> Option<usize> {
        let row = self.table.row.as_ref().map(|it| &it.row);
        let of = |vm: VmId| self.index_of(vm);
        let index = match pick {
            Pick::Node(index) => Some(index % self.machines.len()),
            Pick::Coordinator => row.and_then(|it| of(it.coordinator.vm)),
            Pick::Witness(index) => {
                row.and_then(|it| it.witnesses.witnesses.get(index)).and_then(|it| of(it.member.vm))
            }
            Pick::Owner(hash) => {
                let owner = row.and_then(|it| it.slice_at(hash)).and_then(|it| it.owner);
                owner.and_then(|it| of(it.vm))
            }
            Pick::Bystander => row.and_then(|row| {
                let has_role =
                    |member: Member| row.coordinator == member || row.witnesses.contains(member);
                self.machines.iter().position(|it| it.node.is_some() && !has_role(it.config.member))
            }),
        };
        index.filter(|it| self.machines[*it].node.is_some())
    }
}
