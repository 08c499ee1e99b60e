//! Hollow fronts and coordinators: the real cores and their codec, many in one process under virtual time, with a
//! network that delays, loses and cuts. Figures are of simulated fronts, not of sockets.

mod fleet;
mod measure;
mod scenario;

pub use measure::{measure, CoordinatedCost};
pub use scenario::{CoordinatedShape, Planted, Scenario};
