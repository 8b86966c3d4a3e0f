//! Scripts of faults, and the strategies that make them up.

use galenastream_ownership::{KeyHash, PlantedFault};

/// One run: a cluster, its randomness, and what befalls it.
#[derive(Debug, Clone)]
pub struct Script {
    pub seed: u64,
    pub nodes: usize,
    pub places: usize,
    /// Every clock is either as fast or as slow as is allowed.
    pub extreme_clocks: bool,
    /// No target checks grants itself.
    pub unchecked_targets: bool,
    /// The slices are loaded unevenly, so that the planner moves, splits and merges them.
    pub under_load: bool,
    /// A rule that all nodes leave out.
    pub planted: Option<PlantedFault>,
    /// Print what happens.
    pub trace: bool,
    pub faults: Vec<TimedFault>,
}

/// A fault and when it begins.
#[derive(Debug, Clone, Copy)]
pub struct TimedFault {
    pub at_ms: u64,
    pub fault: Fault,
}

/// Picks a node when a fault begins.
#[derive(Debug, Clone, Copy)]
pub enum Pick {
    Node(usize),
    /// The coordinator that the row names.
    Coordinator,
    /// A witness that the row names.
    Witness(usize),
    /// The owner of a position in the row.
    Owner(KeyHash),
    /// A node that is neither coordinator nor witness.
    Bystander,
}

#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// The node gets no events. `holding_output`: it pauses between its next event and the sending.
    Pause {
        pick: Pick,
        for_ms: u64,
        holding_output: bool,
    },
    /// The node loses its memory. Its target may go on with orders until the lease's end.
    Kill {
        pick: Pick,
        restart_after_ms: Option<u64>,
    },
    /// The node is cut off from all others, not from the store.
    Isolate {
        pick: Pick,
        for_ms: u64,
    },
    /// The place of the node is cut off from the others.
    CutPlace {
        place: usize,
        for_ms: u64,
    },
    /// These nodes are cut off from the others.
    Split {
        group: [Pick; 3],
        for_ms: u64,
    },
    /// Messages pass from the lower to the higher nodes, but not back.
    CutOneWay {
        pivot: usize,
        for_ms: u64,
    },
    /// Messages are lost, doubled and delayed.
    BadNetwork {
        loss_percent: u32,
        delay_ms: u64,
        for_ms: u64,
    },
    StoreOutage {
        for_ms: u64,
    },
    StoreSlow {
        delay_ms: u64,
        for_ms: u64,
    },
    /// Only this node cannot reach the store.
    StoreCut {
        pick: Pick,
        for_ms: u64,
    },
    /// Writes take effect, but their answers are lost.
    StoreAnswersLost {
        for_ms: u64,
    },
    /// Writes are not answered and take effect up to `delay_ms` later.
    StoreLateEffects {
        delay_ms: u64,
        for_ms: u64,
    },
    Drain(Pick),
    Move {
        hash: KeyHash,
        to: Pick,
    },
    /// Carried out only if two witnesses are lost, as operators are told.
    Takeover(Pick),
    TargetRestart {
        pick: Pick,
        down_ms: u64,
    },
    ApplySettings,
}

pub fn at(at_ms: u64, fault: Fault) -> TimedFault {
    TimedFault { at_ms, fault }
}

pub fn pause(pick: Pick, for_ms: u64) -> Fault {
    Fault::Pause { pick, for_ms, holding_output: false }
}

pub fn kill(pick: Pick) -> Fault {
    Fault::Kill { pick, restart_after_ms: None }
}

impl Script {
    /// A cluster of two nodes in each of three places.
    pub fn new(seed: u64, faults: Vec<TimedFault>) -> Self {
        Self {
            seed,
            nodes: 6,
            places: 3,
            extreme_clocks: false,
            unchecked_targets: false,
            under_load: false,
            planted: None,
            trace: false,
            faults,
        }
    }

    pub fn with_extreme_clocks(self) -> Self {
        Self { extreme_clocks: true, ..self }
    }

    pub fn with_unchecked_targets(self) -> Self {
        Self { unchecked_targets: true, ..self }
    }

    pub fn with_load(self) -> Self {
        Self { under_load: true, ..self }
    }

    pub fn with_planted(self, fault: PlantedFault) -> Self {
        Self { planted: Some(fault), ..self }
    }

    pub fn with_nodes(self, nodes: usize, places: usize) -> Self {
        Self { nodes, places, ..self }
    }
}
