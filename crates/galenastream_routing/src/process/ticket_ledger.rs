//! The results of tickets, so that each runs at most once.

use std::{collections::VecDeque, time::Duration};

use galenastream_ownership::{BootInstant, FastMap, SliceEpoch};

/// How many results a ledger keeps, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TicketLimits {
    /// The most tickets that are remembered for one slice.
    pub tickets_per_slice: usize,
    /// How long a ticket is remembered, counted from when it was issued.
    pub kept_ms: u32,
    /// The most bytes of answers that the ledger keeps.
    pub answer_bytes: usize,
}

impl Default for TicketLimits {
    fn default() -> Self {
        Self { tickets_per_slice: 10_000, kept_ms: 600_000, answer_bytes: 32 * 1024 * 1024 }
    }
}

/// A ticket: names one piece of work within one assignment of a slice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// The assignment during which it was issued.
    pub assignment: SliceEpoch,
    /// Counts the tickets of the assignment.
    pub serial: u64,
}

/// The tickets of the slices that a node holds. `A` is an answer that is cheap to clone.
///
/// A ticket is run only by the assignment that issued it, and only while the ledger can account
/// for it. No store write is needed: an assignment that ends takes its tickets with it.
#[derive(Debug, Clone)]
pub struct TicketLedger<A> {
    limits: TicketLimits,
    assignments: FastMap<SliceEpoch, AssignmentTickets<A>>,
    /// Kept answers from the oldest to the latest.
    kept: VecDeque<KeptAnswer>,
    kept_bytes: usize,
}

#[derive(Debug, Clone, Copy)]
struct KeptAnswer {
    ticket: Ticket,
    size_bytes: usize,
}

#[derive(Debug, Clone)]
struct AssignmentTickets<A> {
    /// The serial of the first entry. Older tickets are forgotten and never run.
    first_serial: u64,
    entries: VecDeque<TicketEntry<A>>,
}

#[derive(Debug, Clone)]
struct TicketEntry<A> {
    issued_at: BootInstant,
    state: TicketState<A>,
}

#[derive(Debug, Clone)]
enum TicketState<A> {
    Idle,
    Running,
    Unknown,
    Ran(A),
}

/// What to do with a request that carries a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketDecision<A> {
    /// Run it, and report the result by [`TicketLedger::finish`].
    Run,
    /// It has run: this was the answer.
    Answered(A),
    /// Its first request is still in progress.
    InProgress,
    /// Nobody knows whether it ran; it is not run again.
    Unknown,
    /// The ticket was never issued.
    NeverIssued,
}

/// The result of running a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketResult<A> {
    /// It ran.
    Ran {
        /// The answer.
        answer: A,
        /// The memory that the answer takes.
        size_bytes: usize,
    },
    /// It provably did not run, so it may be tried again.
    NotRun,
    /// Nobody knows.
    Unknown,
}

impl<A: Clone> TicketLedger<A> {
    /// Creates an empty ledger.
    pub fn new(limits: TicketLimits) -> Self {
        Self { limits, assignments: FastMap::default(), kept: VecDeque::new(), kept_bytes: 0 }
    }

    /// Issues a ticket of a slice that this node holds.
    pub fn issue(&mut self, now: BootInstant, assignment: SliceEpoch) -> Ticket {
        let limits = self.limits;
        let tickets = self.assignments.entry(assignment).or_insert_with(AssignmentTickets::new);
        tickets.forget_old(now, limits);
        let serial = tickets.next_serial();
        tickets.entries.push_back(TicketEntry { issued_at: now, state: TicketState::Idle });
        Ticket { assignment, serial }
    }

    /// Decides on a request whose key falls into a slice that this node holds under `current`.
    pub fn begin(
        &mut self,
        now: BootInstant,
        current: SliceEpoch,
        ticket: Ticket,
    ) -> TicketDecision<A> {
        if ticket.assignment != current {
            return TicketDecision::Unknown;
        }
        let limits = self.limits;
        let Some(tickets) = self.assignments.get_mut(&current) else {
            return TicketDecision::NeverIssued;
        };
        tickets.forget_old(now, limits);
        if ticket.serial < tickets.first_serial {
            return TicketDecision::Unknown;
        }
        let Some(entry) = tickets.entry_mut(ticket.serial) else {
            return TicketDecision::NeverIssued;
        };
        match &entry.state {
            TicketState::Idle => {
                entry.state = TicketState::Running;
                TicketDecision::Run
            }
            TicketState::Running => TicketDecision::InProgress,
            TicketState::Unknown => TicketDecision::Unknown,
            TicketState::Ran(answer) => TicketDecision::Answered(answer.clone()),
        }
    }

    /// Records the result of a ticket that `begin` said to run.
    pub fn finish(&mut self, ticket: Ticket, result: TicketResult<A>) {
        match result {
            TicketResult::Ran { answer, size_bytes } => {
                self.set_state(ticket, TicketState::Ran(answer));
                self.kept.push_back(KeptAnswer { ticket, size_bytes });
                self.kept_bytes += size_bytes;
                self.drop_old_answers();
            }
            TicketResult::NotRun => self.set_state(ticket, TicketState::Idle),
            TicketResult::Unknown => self.set_state(ticket, TicketState::Unknown),
        }
    }

    /// Forgets the tickets of all assignments but the ones that this node still holds.
    pub fn retain(&mut self, held: &[SliceEpoch]) {
        self.assignments.retain(|assignment, _| held.contains(assignment));
        let assignments = &self.assignments;
        self.kept.retain(|it| assignments.contains_key(&it.ticket.assignment));
        self.kept_bytes = self.kept.iter().map(|it| it.size_bytes).sum();
    }

    /// How many tickets are remembered.
    pub fn len(&self) -> usize {
        self.assignments.values().map(|tickets| tickets.entries.len()).sum()
    }

    /// Whether no ticket is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// A ticket whose answer is dropped is never run again, and its result is not known any more.
    fn drop_old_answers(&mut self) {
        while self.kept_bytes > self.limits.answer_bytes {
            let Some(oldest) = self.kept.pop_front() else {
                return;
            };
            self.kept_bytes -= oldest.size_bytes;
            self.set_state(oldest.ticket, TicketState::Unknown);
        }
    }

    fn set_state(&mut self, ticket: Ticket, state: TicketState<A>) {
        let Some(tickets) = self.assignments.get_mut(&ticket.assignment) else {
            return;
        };
        if let Some(entry) = tickets.entry_mut(ticket.serial) {
            entry.state = state;
        }
    }
}

impl<A> AssignmentTickets<A> {
    fn new() -> Self {
        Self { first_serial: 1, entries: VecDeque::new() }
    }

    fn next_serial(&self) -> u64 {
        self.first_serial + self.entries.len() as u64
    }

    fn entry_mut(&mut self, serial: u64) -> Option<&mut TicketEntry<A>> {
        let index = usize::try_from(serial.checked_sub(self.first_serial)?).ok()?;
        self.entries.get_mut(index)
    }

    fn forget_old(&mut self, now: BootInstant, limits: TicketLimits) {
        let kept = Duration::from_millis(u64::from(limits.kept_ms));
        while let Some(oldest) = self.entries.front() {
            let is_old = now.saturating_since(oldest.issued_at) > kept;
            if !is_old && self.entries.len() < limits.tickets_per_slice {
                return;
            }
            self.entries.pop_front();
            self.first_serial += 1;
        }
    }
}
