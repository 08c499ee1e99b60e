//! Causes of releases (Q.850) that the front itself tells apart or sends.

/// The call came to its ordinary end.
pub(crate) const NORMAL_CLEARING: u16 = 16;
/// The call was cut.
pub(crate) const TEMPORARY_FAILURE: u16 = 41;
