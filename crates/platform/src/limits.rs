//! Limits that the platform sets on messages.

/// Longest message in either direction, with callers and with signalling servers, bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
