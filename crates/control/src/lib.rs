//! shalespindle: a call controller for the edge of a network with central servers.
//!
//! [`control`] holds every decision on routes and admission, [`liveness`] the one on whether a server is still there;
//! [`interface`] holds the plain types that cross its border.

pub mod control;
pub mod interface;
pub mod liveness;
