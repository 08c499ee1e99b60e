//! Scripted servers, callers and pool list with faults, and the checker of the rules
