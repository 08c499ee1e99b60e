//! Loss and return of whole sites, decided without I/O from what many fronts see.
//!
//! A *site* is a named group of fronts and servers. Each front tells what it sees of all servers and how much is
//! asked of it ([`Sight`], a hint with an age); nobody is believed alone that a site is lost: more than half of the
//! fronts outside it must miss it. What has been found is a [`Word`] with an epoch; words of two fronts meet in one
//! rule, the same everywhere. From words and sights each front works out what it may no longer use and how much of
//! each procedure it may still take ([`Narrowing`]): never a route, and never more than it would do alone.
//!
//! Inputs only update what is known; the host then calls [`Sites::turn`] and pulls [`Sites::next_output`]. Times are
//! f64 seconds on the host's clock; between fronts only ages are told. docs/design-notes/sites.md has the ways weighed.

mod fault;
mod judge;
mod message;
mod params;
mod plan;
mod rates;
mod sights;
mod sites;
mod status;
mod table;
mod word;

pub use fault::SitesFault;
pub use message::{Rumour, SitesMessage};
pub use params::{Class, SiteSpec, SitesParams};
pub use plan::{plan, Demand, Held, Parts};
pub use rates::{Observed, ObservedServer};
pub use sights::{Sight, SiteSight};
pub use sites::{Narrowing, Order, Out, Sites};
pub use status::{SiteStatus, SitesStatus, Verdict};
pub use table::Table;
pub use word::{Stage, Word};
