//! Loss and return of whole sites, decided without I/O from what many fronts see.
//!
//! A *site* is a named group of fronts and servers. Each front tells what it sees of all servers and how much is
//! requested of it ([`Observation`], a hint with an age); nobody is believed alone that a site is lost: more than half of the
//! fronts outside it must miss it. What has been found is a [`SiteRecord`] with an epoch; records of two fronts meet in one
//! rule, the same everywhere. From records and observations each front works out what it may no longer use and how much of
//! each procedure it may still take ([`Restrictions`]): never a route, and never more than it would do alone.
//!
//! Inputs only update what is known; the host then calls [`Sites::turn`] and pulls [`Sites::next_output`]. Times are
//! f64 seconds on the host's clock; between fronts only ages are told. docs/design-notes/sites.md has the ways weighed.

mod error;
mod message;
mod observation;
mod params;
mod plan;
mod rates;
mod record;
mod sites;
mod status;
mod table;
mod votes;

pub use error::SitesError;
pub use message::{RelayedObservation, SitesMessage};
pub use observation::{Observation, SiteObservation};
pub use params::{ProcedureClass, SiteSpec, SitesParams};
pub use plan::{plan, AdmissionPlan, Demand, SiteCapacity};
pub use rates::{Sample, ServerSample};
pub use record::{SiteRecord, Stage};
pub use sites::{Order, Output, Restrictions, Sites};
pub use status::{SiteState, SiteStatus, SitesStatus};
pub use table::SiteTable;
