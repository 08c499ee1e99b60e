//! Decisions of a call router at the edge of a network with central servers.
//!
//! [`control`] decides on routes and admission, [`liveness`] on whether a server with established calls still
//! runs. [`interface`] holds the plain types that cross the border of [`control`]. None of them does I/O.

pub mod control;
pub mod interface;
pub mod liveness;
