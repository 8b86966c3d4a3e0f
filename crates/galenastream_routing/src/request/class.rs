//! Classes of requests.

/// A class of requests, whose service times are measured together. Under overload the classes with
/// the lowest priority are shed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Class {
    /// Identifies the class: requests with the same index share their measured service times.
    pub index: u16,
    /// The priority; requests with a higher one start first.
    pub priority: u8,
    /// Whether the request can go to another target if this one refuses it.
    pub has_alternatives: bool,
    /// For how many milliseconds the caller has waited before this attempt.
    pub waited_ms: u32,
    /// The target latency of the route in milliseconds; 0 if it is not known.
    pub target_latency_ms: u32,
}

impl Class {
    /// Creates a class from its index and its priority.
    pub const fn new(index: u16, priority: u8) -> Self {
        Self { index, priority, has_alternatives: false, waited_ms: 0, target_latency_ms: 0 }
    }

    /// Sets whether the request can go to another target.
    pub const fn with_alternatives(self, has_alternatives: bool) -> Self {
        Self { has_alternatives, ..self }
    }

    /// Sets the target latency of the route.
    pub const fn with_target_latency_ms(self, target_latency_ms: u32) -> Self {
        Self { target_latency_ms, ..self }
    }

    /// Sets for how many milliseconds the caller has waited before this attempt.
    pub const fn with_waited_ms(self, waited_ms: u32) -> Self {
        Self { waited_ms, ..self }
    }
}
