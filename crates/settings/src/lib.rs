//! Settings: TOML with units into checked types, and their schema
