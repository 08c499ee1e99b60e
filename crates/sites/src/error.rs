//! Errors of the table of sites and of orders, with what an operator can do about each.

use miette::Diagnostic;
use thiserror::Error;

/// An error in the table of sites, or in an operator's order.
#[derive(Clone, Debug, PartialEq, Error, Diagnostic)]
pub enum SitesError {
    #[error("no site is named {name:?}")]
    #[diagnostic(help("name one of the [[sites]] of the settings: {known}"))]
    UnknownSite { name: String, known: String },
    #[error("front {front:?} belongs to two sites, {first:?} and {second:?}")]
    #[diagnostic(help("leave it in the `fronts` of the one site where it is located"))]
    DuplicateFront { front: String, first: String, second: String },
    #[error("pool {pool} belongs to two sites, {first:?} and {second:?}")]
    #[diagnostic(help("leave it in the `pools` of the one site where its server is located"))]
    DuplicatePool { pool: u16, first: String, second: String },
    #[error("the networks {one} of {first:?} and {other} of {second:?} overlap")]
    #[diagnostic(help(
        "make the `networks` of the sites narrower, so that each address belongs to one site"
    ))]
    OverlappingNetworks { one: String, first: String, other: String, second: String },
    #[error("two sites are named {name:?}")]
    #[diagnostic(help("give each of the [[sites]] a name of its own"))]
    DuplicateName { name: String },
    #[error("the site {name:?} has no servers")]
    #[diagnostic(help("list its servers by `pools` or `networks`; a site without servers cannot be lost"))]
    NoServers { name: String },
    #[error("{front:?} of the site {site:?} is not among the fronts")]
    #[diagnostic(help("add it to [[fleet.peers]], or remove it from the site's `fronts`"))]
    UnknownFront { front: String, site: String },
    #[error("{count} sites are configured; at most {max} are allowed")]
    #[diagnostic(help("join sites that are lost together into one"))]
    TooManySites { count: usize, max: usize },
    #[error("the duration of an order must be more than 0 and at most {max} s")]
    #[diagnostic(help("give --for a duration within these limits; repeat the order before it expires"))]
    InvalidDuration { max: f64 },
    #[error("this front is cut off from most others")]
    #[diagnostic(help(
        "give the order at a front that receives heartbeats from more than half of the fleet (`fleet status`)"
    ))]
    CutOff,
    #[error("sites are not configured")]
    #[diagnostic(help(
        "add [[sites]] and [fleet] to the settings and restart the fronts one after the other"
    ))]
    Disabled,
}
