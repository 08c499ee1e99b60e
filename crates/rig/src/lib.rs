//! Runs real processes of the binary as the fronts of one fleet, with a pool list service for each front and a
//! relay on every path between two fronts that drops, duplicates, delays, reorders, corrupts and cuts off datagrams.
//! One seed gives one plan of faults. The status that the fronts report at the end is checked: replicas are equal,
//! and no front uses a server that another front's list has taken out of service.

mod check;
mod feed;
mod fleet;
mod live;
mod plan;
mod play;
mod relay;
mod servers;
mod size;

pub use check::{check, Breach, Seen};
pub use feed::{ListFeed, Row};
pub use fleet::{Fleet, FleetShape};
pub use live::{play_live, LiveShape, LiveSummary};
pub use plan::{plan, Action};
pub use play::{look, play, Summary};
pub use relay::{Faults, Relays};
pub use servers::Servers;
pub use shalespindle_front::pool_list::ServerState as State;
pub use size::{measure_processes, ProcessCost};
