//! Real processes of the binary as fronts of one fleet, a list service for each, and a relay on every path from
//! front to front that loses, doubles, delays, reorders, garbles and cuts. One seed gives one plan of faults.
//! What the fronts say of themselves at the end is checked: copies equal, no server let in against a warning.

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
