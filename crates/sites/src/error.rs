//! What can be wrong, and what an operator can do about it.

use miette::Diagnostic;
use thiserror::Error;

/// A fault of the table of sites, or of an order to it.
#[derive(Clone, Debug, PartialEq, Error, Diagnostic)]
pub enum SitesError {
    #[error("no site is named {name:?}")]
    #[diagnostic(help("name one of the [[sites]] of the settings: {known}"))]
    UnknownSite { name: String, known: String },
    #[error("{front:?} is a front of the sites {first:?} and {second:?}")]
    #[diagnostic(help("leave it in the `fronts` of the one site where it stands"))]
    DuplicateFront { front: String, first: String, second: String },
    #[error("pool {pool} is of the sites {first:?} and {second:?}")]
    #[diagnostic(help("leave it in the `pools` of the one site where its server stands"))]
    DuplicatePool { pool: u16, first: String, second: String },
    #[error("the networks {one} of {first:?} and {other} of {second:?} have addresses in common")]
    #[diagnostic(help("make the `networks` of sites narrower, so that each address is of one site"))]
    OverlappingNetworks { one: String, first: String, other: String, second: String },
    #[error("two sites are named {name:?}")]
    #[diagnostic(help("give each of the [[sites]] a name of its own"))]
    DuplicateName { name: String },
    #[error("the site {name:?} has no servers")]
    #[diagnostic(help("list its servers by `pools` or `networks`; a site without servers cannot be lost"))]
    NoServers { name: String },
    #[error("{front:?} of the site {site:?} is not among the fronts")]
    #[diagnostic(help("add it to [[fleet.peers]], or take it out of the site's `fronts`"))]
    UnknownFront { front: String, site: String },
    #[error("{count} sites; {most} at most")]
    #[diagnostic(help("join sites that are lost together into one"))]
    TooManySites { count: usize, most: usize },
    #[error("an order lasts more than 0 and at most {most} s")]
    #[diagnostic(help("give --for a length within that; repeat the order before it ends"))]
    InvalidDuration { most: f64 },
    #[error("this front is cut off from most others")]
    #[diagnostic(help("give the order at a front that hears more than half of the fleet (`fleet status`)"))]
    CutOff,
    #[error("sites are off")]
    #[diagnostic(help(
        "write [[sites]] and [fleet] into the settings and restart the fronts one after the other"
    ))]
    Disabled,
}
