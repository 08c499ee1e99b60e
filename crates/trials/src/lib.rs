//! Short, dense trials of live fronts: a few front processes among stand-in servers, a discovery service and
//! callers. Each trial injects two or three kinds of fault at once, drawn from one seed, and checks the
//! operators' acceptance rules over the events that the peers of the fronts recorded.

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
