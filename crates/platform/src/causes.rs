//! Q.850 causes of releases that the front sends or distinguishes.

/// The call was ended normally.
pub(crate) const NORMAL_CLEARING: u16 = 16;
/// The call was cut off by a failure.
pub(crate) const TEMPORARY_FAILURE: u16 = 41;
