//! Collects what the parts of a node want done.

use std::{collections::VecDeque, time::Duration};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    Action, CellId, CellRow, ControlMessage, DropReason, Member, OwnershipEvent, RowVersion,
    Sequence, StoreOperation, StoreRequestId, VmId, WriteId,
};

/// Numbers and random choices of one life of a node.
#[derive(Debug)]
pub(crate) struct Counters {
    member: Member,
    sequence: u64,
    store_request: u64,
    write: u64,
    random: SmallRng,
}

impl Counters {
    pub(crate) fn new(member: Member, seed: u64) -> Self {
        let seed = seed ^ member.vm.bits().rotate_left(17) ^ member.incarnation.0.rotate_left(41);
        let random = SmallRng::seed_from_u64(seed);
        Self { member, sequence: 0, store_request: 0, write: 0, random }
    }
}

/// Collects what the parts of a node want done while it handles one event.
///
/// Messages of the node to itself never leave it; they are handled after the event.
#[derive(Debug)]
pub(crate) struct Outbox<'a> {
    actions: &'a mut Vec<Action>,
    local: &'a mut VecDeque<ControlMessage>,
    counters: &'a mut Counters,
}

impl<'a> Outbox<'a> {
    pub(crate) fn new(
        actions: &'a mut Vec<Action>,
        local: &'a mut VecDeque<ControlMessage>,
        counters: &'a mut Counters,
    ) -> Self {
        Self { actions, local, counters }
    }

    pub(crate) fn act(&mut self, action: Action) {
        self.actions.push(action);
    }

    pub(crate) fn log(&mut self, event: OwnershipEvent) {
        self.act(Action::Log(event));
    }

    /// Logs that the message that is being handled was dropped.
    pub(crate) fn drop_message(&mut self, reason: DropReason) {
        self.log(OwnershipEvent::MessageDropped { reason });
    }

    pub(crate) fn send(&mut self, to: VmId, message: ControlMessage) {
        if to == self.counters.member.vm {
            self.local.push_back(message);
            return;
        }
        self.act(Action::Send { to, message });
    }

    pub(crate) fn read(&mut self, cell: CellId) -> StoreRequestId {
        self.store(StoreOperation::Read { cell })
    }

    pub(crate) fn write(
        &mut self,
        expected: Option<RowVersion>,
        write: WriteId,
        row: CellRow,
    ) -> StoreRequestId {
        self.store(StoreOperation::Write { expected, write, row })
    }

    fn store(&mut self, operation: StoreOperation) -> StoreRequestId {
        self.counters.store_request += 1;
        let request = StoreRequestId(self.counters.store_request);
        self.act(Action::Store { request, operation });
        request
    }

    pub(crate) fn next_sequence(&mut self) -> Sequence {
        self.counters.sequence += 1;
        Sequence(self.counters.sequence)
    }

    /// A write id that no other life of any node uses.
    pub(crate) fn next_write(&mut self) -> WriteId {
        self.counters.write += 1;
        let member = self.counters.member;
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&member.vm.bits().to_le_bytes());
        bytes[8..].copy_from_slice(&member.incarnation.0.to_le_bytes());
        WriteId(xxh3_64_with_seed(&bytes, self.counters.write))
    }

    /// A random duration below `limit`.
    pub(crate) fn jitter(&mut self, limit: Duration) -> Duration {
        let limit_ns = u64::try_from(limit.as_nanos()).unwrap_or(u64::MAX).max(1);
        Duration::from_nanos(self.counters.random.random_range(0..limit_ns))
    }
}
