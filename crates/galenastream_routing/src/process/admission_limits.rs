//! The limits of admission to a target.

/// The capacity of a target and of the queue in front of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Requests that the target processes at once.
    pub slots: u32,
    /// The maximum number of requests that wait for a slot.
    pub queue_limit: u32,
    /// The maximum time that a request waits for a slot, in milliseconds.
    pub queue_wait_ms: u32,
    /// The minimum time in milliseconds after which a refused caller may retry.
    pub retry_after_ms: u32,
    /// The time in milliseconds over which the slots of a target that has just started open; 0
    /// opens all of them at once.
    pub ramp_up_ms: u32,
}
