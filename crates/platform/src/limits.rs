//! Limits that the platform sets on messages, and the parts of a front's memory limit.

/// Longest message in either direction, with callers and with signalling servers, bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// Fraction of the memory limit that the set-ups of pending attaches may fill.
pub(crate) const SET_UP_MEMORY_SHARE: f64 = 0.125;
/// Fraction of the memory limit for messages of which a part is still to come. As many clients as there are
/// descriptors may have one of the longest messages unfinished.
pub(crate) const PARTIAL_MEMORY_SHARE: f64 = 1.0 / 16.0;
/// Fraction of the memory limit for bytes queued for peers that do not read.
pub(crate) const QUEUE_MEMORY_SHARE: f64 = 1.0 / 16.0;
/// Fraction of the memory limit for ids of releases read before their calls are handed over. After an outage of
/// the front these are all calls that ended meanwhile.
pub(crate) const EARLY_RELEASE_MEMORY_SHARE: f64 = 1.0 / 64.0;
/// Fraction of the memory limit for ids of calls that were sent to a server.
pub(crate) const SENT_ID_MEMORY_SHARE: f64 = 1.0 / 64.0;
