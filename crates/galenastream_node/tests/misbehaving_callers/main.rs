//! Real nodes under crowds of callers that keep none of the limits. The nodes live, stay within the
//! memory and the descriptors of their settings, and answer an ordinary caller.
//!
//! Each test takes the machine for itself: they run one at a time, and check no times.

mod answers;
mod bodies;
mod chunks;
mod connections;
mod crowd;
mod heads;
mod mixtures;
mod node_watch;
mod ports;
mod scene;

use std::time::Duration;

use galenastream_standin::ResourceLimits;

/// Timeout of each wait for a state of the deployment.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Panic message of helper functions that need a working deployment.
const WORKS: &str = "the node and the stand-ins work";

/// The limits of each node, so low that a small crowd exceeds them.
const LIMITS: ResourceLimits = ResourceLimits { memory_mb: 96, max_file_descriptors: 2_200 };

/// Of the descriptors, those that the platform keeps for files; sockets share the rest.
const FILE_DESCRIPTORS: u64 = 200;

/// The longest body and head that the config allows.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
const MAX_HEADER_BYTES: usize = 16_384;

/// A body close to 64 KiB, and one that is longer.
const SHORT_BODY_BYTES: usize = 65_000;
const MEDIUM_BODY_BYTES: usize = 66_000;

/// Connections whose short bodies together exceed the memory of a node.
const MANY: usize = 1_900;

/// Connections that exceed the descriptors of a node.
const TOO_MANY: usize = 2_600;
