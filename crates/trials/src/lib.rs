//! Short, dense trials of live fronts: a handful of processes among stand-in servers, a discovery service and callers,
//! with two or three kinds of trouble at once drawn from one seed, and the operators' terms checked over what was seen.

mod address;
pub mod bad_clients;
mod callers;
mod discovery;
mod front;
pub mod plan;
pub mod record;
pub mod rules;
mod server;
mod trial;

pub use callers::CallerBehaviour;
pub use front::Settings;
pub use server::FaultProfile;
pub use trial::{run, Outcome};
