//! Limits on what the clients of each listener take together.

use crate::forward::InstanceCapacity;

/// Parts of what an instance has that its clients may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientSettings {
    /// Part of the descriptors for connections of callers, in percent. Each request that is
    /// served needs another one to its server.
    pub caller_percent: usize,
    /// Part of the descriptors for connections to the port of readiness and metrics, in
    /// percent.
    pub probe_percent: usize,
    /// Part of the descriptors for connections to the port of other instances that have
    /// not proved that they are instances, in percent.
    pub stranger_percent: usize,
    /// Part of the memory for connections of callers, in percent.
    pub connection_percent: usize,
    /// Part of the memory for heads of requests that are being received, in percent.
    pub head_percent: usize,
    /// Bytes that the kernel is asked to keep for a connection until they are read.
    pub receive_buffer: usize,
    /// Memory of an instance that does not state it, in bytes.
    pub default_memory: usize,
    /// Descriptors of an instance that does not state them.
    pub default_descriptors: usize,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            caller_percent: 40,
            probe_percent: 5,
            stranger_percent: 5,
            connection_percent: 50,
            head_percent: 10,
            receive_buffer: 16 * 1024,
            default_memory: 1024 * 1024 * 1024,
            default_descriptors: 20_000,
        }
    }
}

/// Bytes of the task of a connection whose request is served, and of its buffers.
const TASK_BYTES: usize = 16 * 1024;
/// The kernel keeps up to this part more than the size that it is asked for, in percent.
const KERNEL_PERCENT: usize = 160;
/// Fewest connections of each listener, however small the instance.
const MIN_CONNECTIONS: usize = 8;

/// What the clients of an instance may take together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Connections of callers.
    pub callers: usize,
    /// Connections to the port of readiness and metrics.
    pub probes: usize,
    /// Connections to the port of other instances, from clients that have not proved that
    /// they are instances.
    pub strangers: usize,
    /// Bytes of callers' heads that are being received.
    pub head_bytes: usize,
}

impl ClientLimits {
    /// The limits of an instance.
    #[must_use]
    pub fn new(settings: &ClientSettings, capacity: &InstanceCapacity) -> Self {
        let memory = capacity.memory.unwrap_or(settings.default_memory);
        let descriptors = capacity.descriptors.unwrap_or(settings.default_descriptors);
        let connection = settings.receive_buffer * KERNEL_PERCENT / 100 + TASK_BYTES;
        let in_memory = part(memory, settings.connection_percent) / connection;
        let of_descriptors = |percent| part(descriptors, percent).max(MIN_CONNECTIONS);
        Self {
            callers: of_descriptors(settings.caller_percent).min(in_memory.max(MIN_CONNECTIONS)),
            probes: of_descriptors(settings.probe_percent),
            strangers: of_descriptors(settings.stranger_percent),
            head_bytes: part(memory, settings.head_percent),
        }
    }
}

/// A part of a number, in percent.
const fn part(whole: usize, percent: usize) -> usize {
    // Divided first: the number may be close to the largest.
    whole / 100 * percent + whole % 100 * percent / 100
}
