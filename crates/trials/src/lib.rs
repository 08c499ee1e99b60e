//! Short, dense trials of live fronts: a handful of processes among stand-in servers, a discovery service and callers,
//! with two or three kinds of trouble at once drawn from one seed, and the operators' terms checked over what was seen.

mod address;
pub mod bad_clients;
mod callers;
mod discovery;
mod front;
pub mod plan;
pub mod record;
mod server;
pub mod terms;
mod trial;

pub use callers::Habits;
pub use front::Settings;
pub use server::Quirks;
pub use trial::{play, Outcome};
