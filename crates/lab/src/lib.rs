//! The laboratory: scenarios, their troubles as a plan of actions, played under virtual time (`sim`) or on
//! loopback sockets (`play`), the rules checked over what passed, and one summary.

pub mod baseline;
pub mod capacity;
pub mod chain;
pub mod compare;
pub mod coordinated;
pub mod country;
pub mod fleet_cost;
pub mod fleet_size;
pub mod names;
mod parallel;
pub mod plan;
pub mod play;
pub mod resources;
pub mod scale;
pub mod scenario;
pub mod sim;
pub mod standing;
pub mod summary;
pub mod throughput;
pub mod walk;
pub mod zone;
