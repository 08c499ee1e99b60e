//! shalespindle: a call controller for the edge of a network with central servers.
//!
//! [`control`] holds every decision; [`interface`] holds the plain types that cross its border.

pub mod control;
pub mod interface;
