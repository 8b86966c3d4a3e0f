//! The table of fields.

use crate::{FieldKind, FieldSpec, Level};

/// The specifications of all fields, in the order of the reference page.
pub const FIELDS: &[FieldSpec] = &[
    FieldSpec {
        name: "queue_per_slot",
        kind: FieldKind::Integer { min: 1, max: 1_000 },
        default: "4",
        lowest_level: Level::Place,
        description: "The maximum number of requests that wait at a target, per slot. Admission usually sheds requests by their deadlines long before.",
    },
    FieldSpec {
        name: "hold_percent",
        kind: FieldKind::Integer { min: 0, max: 100 },
        default: "40",
        lowest_level: Level::KeyRange,
        description: "How long a request is held while its key moves, in percent of the target latency of its route. With 0 it is refused at once.",
    },
    FieldSpec {
        name: "retry_after_ms",
        kind: FieldKind::Integer { min: 1, max: 600_000 },
        default: "50",
        lowest_level: Level::KeyRange,
        description: "The minimum time after which a refused caller is told to retry.",
    },
    FieldSpec {
        name: "retry_budget_percent",
        kind: FieldKind::Integer { min: 0, max: 100 },
        default: "45",
        lowest_level: Level::Place,
        description: "The part of the platform's retry budget that nodes use. 0 disables retries.",
    },
    FieldSpec {
        name: "remote_penalty_percent",
        kind: FieldKind::Integer { min: 0, max: 10_000 },
        default: "25",
        lowest_level: Level::Place,
        description: "The penalty on targets in another place when a target is chosen, in percent of the service time. Higher values keep more requests in their own place.",
    },
    FieldSpec {
        name: "log_lines_per_s",
        kind: FieldKind::Integer { min: 1, max: 100_000 },
        default: "400",
        lowest_level: Level::Place,
        description: "The maximum number of log lines about requests that a node writes per second.",
    },
    FieldSpec {
        name: "planner_imbalance_percent",
        kind: FieldKind::Integer { min: 101, max: 1_000 },
        default: "125",
        lowest_level: Level::Service,
        description: "The utilisation above which a target passes keys on, in percent of the mean utilisation.",
    },
    FieldSpec {
        name: "planner_busy_percent",
        kind: FieldKind::Integer { min: 1, max: 100 },
        default: "55",
        lowest_level: Level::Service,
        description: "The utilisation above which a target passes keys on, in percent of its capacity. Below it, an imbalance does no harm.",
    },
    FieldSpec {
        name: "planner_moves_per_round",
        kind: FieldKind::Integer { min: 0, max: 1_000 },
        default: "6",
        lowest_level: Level::Service,
        description: "The number of key ranges that may start to move in a round of the planner to balance load; more if the service has many targets. 0 disables such moves.",
    },
    FieldSpec {
        name: "planner_round_ms",
        kind: FieldKind::Integer { min: 100, max: 600_000 },
        default: "1000",
        lowest_level: Level::Service,
        description: "The interval between two rounds of the planner.",
    },
];
