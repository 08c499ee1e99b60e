//! Loss and return of whole sites, decided without I/O from the observations of many fronts.
//!
//! A *site* is a named group of fronts and servers. Each front sends the others its [`Observation`]: which
//! servers it reaches and how many attaches are requested of it. No single front can declare a site lost:
//! more than half of the fronts outside the site must miss it. The finding is a [`SiteRecord`] with an epoch;
//! two records of a site merge by the same rule on all fronts. From records and observations each front works
//! out its [`Restrictions`]: servers that it must not use, and limits on the attaches that it admits. They
//! never choose a route, and never allow anything that the front would not do on its own.
//!
//! Inputs only update state; the host then calls [`Sites::tick`] and pulls [`Sites::next_output`]. Times are
//! f64 seconds on the host's clock; only ages are sent between fronts. docs/design-notes/sites.md compares
//! the alternatives.

mod error;
mod message;
mod observation;
mod output;
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
pub use output::{Order, Output, Restrictions};
pub use params::{ProcedureClass, SiteSpec, SitesParams};
pub use plan::{plan_admission, AdmissionPlan, Demand, SiteCapacity};
pub use rates::{Sample, ServerSample};
pub use record::{SiteRecord, Stage};
pub use sites::Sites;
pub use status::{SiteState, SiteStatus, SitesStatus};
pub use table::SiteTable;
