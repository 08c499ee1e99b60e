//! Scenarios played on loopback sockets, rules checked, and their reports
