//! The cores on sockets. Each core has one coroutine that owns it; readers send it what came over one
//! bounded channel, so that nothing is shared between cores.
