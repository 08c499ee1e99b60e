//! The laboratory: scenarios, their troubles as a plan of actions, played under virtual time (`sim`) or on
//! loopback sockets (`play`), the rules checked over what passed, and one summary.

pub mod plan;
pub mod scenario;
pub mod sim;
pub mod summary;
