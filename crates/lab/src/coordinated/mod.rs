//! Simulates fronts with coordinators.
//!
//! The real state machines and their codec, many in one process, run under virtual time over a network that
//! delays and loses frames and can be partitioned. The figures are those of simulated fronts, not of sockets.

mod fleet;
mod measure;
mod scenario;

pub use measure::{measure, CoordinatedCost};
pub use scenario::{CoordinatedShape, Planted, Scenario};
