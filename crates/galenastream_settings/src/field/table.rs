//! The table of fields.

use crate::{FieldKind, FieldSpec, Level};

/// The specifications of all fields, in the order of the reference page.
pub const FIELDS: &[FieldSpec] = &[
    FieldSpec {
        name: "queue_per_slot",
        kind: FieldKind::Integer { min: 1, max: 1_000 },
        default: "4",
        lowest_level: Level::Place,
        description: "How many requests wait at a target for each of its slots, at most. Their deadlines decide long before.",
    },
    FieldSpec {
        name: "hold_percent",
        kind: FieldKind::Integer { min: 0, max: 100 },
        default: "40",
        lowest_level: Level::KeyRange,
        description: "For how much of the target latency of its route a request is held while its key moves. Zero refuses it at once.",
    },
    FieldSpec {
        name: "retry_after_ms",
        kind: FieldKind::Integer { min: 1, max: 600_000 },
        default: "50",
        lowest_level: Level::KeyRange,
        description: "The least time after which a refused caller is told to come back.",
    },
    FieldSpec {
        name: "retry_budget_percent",
        kind: FieldKind::Integer { min: 0, max: 100 },
        default: "45",
        lowest_level: Level::Place,
        description: "The share of the retries that the platform allows which nodes use. Zero switches retries off.",
    },
    FieldSpec {
        name: "remote_penalty_percent",
        kind: FieldKind::Integer { min: 0, max: 10_000 },
        default: "25",
        lowest_level: Level::Place,
        description: "How much longer a request seems to take at a target in another place. Higher keeps more requests in their own place.",
    },
    FieldSpec {
        name: "log_lines_per_s",
        kind: FieldKind::Integer { min: 1, max: 100_000 },
        default: "400",
        lowest_level: Level::Place,
        description: "Log lines about requests that a node writes a second, at most.",
    },
    FieldSpec {
        name: "planner_imbalance_percent",
        kind: FieldKind::Integer { min: 101, max: 1_000 },
        default: "125",
        lowest_level: Level::Service,
        description: "From what load a target passes keys on, as a share of the mean load.",
    },
    FieldSpec {
        name: "planner_busy_percent",
        kind: FieldKind::Integer { min: 1, max: 100 },
        default: "55",
        lowest_level: Level::Service,
        description: "From what load a target passes keys on, as a share of what it can carry. Below, an imbalance does no harm.",
    },
    FieldSpec {
        name: "planner_moves_per_round",
        kind: FieldKind::Integer { min: 0, max: 1_000 },
        default: "6",
        lowest_level: Level::Service,
        description: "How many ranges of keys may start to move in a round of the planner. Zero switches such moves off.",
    },
    FieldSpec {
        name: "planner_round_ms",
        kind: FieldKind::Integer { min: 100, max: 600_000 },
        default: "1000",
        lowest_level: Level::Service,
        description: "Time between two rounds of the planner.",
    },
];
