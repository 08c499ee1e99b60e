//! The test laboratory: scenarios whose faults become a list of timed actions, run under virtual time (`sim`)
//! or on loopback sockets (`play`); the rules are checked over the trace, and a summary is printed.

pub mod baseline;
pub mod capacity;
pub mod chain;
pub mod compare;
pub mod coordinated;
pub mod fleet_cost;
pub mod fleet_sites;
pub mod fleet_size;
pub mod names;
mod parallel;
pub mod plan;
pub mod play;
pub mod resources;
pub mod scale;
pub mod scenario;
pub mod sim;
pub mod stand_ins;
pub mod summary;
pub mod throughput;
pub mod walk;
pub mod zone;
