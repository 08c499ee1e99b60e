//! Fills the blocks of the page, from `<!-- table: NAME -->` to `<!-- end -->`, with the generated tables.

use super::data::Runs;
use super::tables;

/// Error filling the page.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PageFault {
    /// A block with an unknown name.
    #[error("unknown table {0}; known tables: {known}", known = tables::NAMES.join(", "))]
    Unknown(String),
    /// A block without an end marker.
    #[error("the table {0} does not end with <!-- end -->")]
    Endless(String),
    /// A table without a block on the page.
    #[error("the page has no block <!-- table: {0} -->")]
    Missing(&'static str),
}

const BEGINS: &str = "<!-- table: ";
const BEGIN_ENDS: &str = " -->\n";
const ENDS: &str = "<!-- end -->";

/// Returns the page with the content of every block replaced by the table generated from the runs.
pub fn fill(page: &str, runs: &Runs) -> Result<String, PageFault> {
    let (mut filled, mut rest) = (String::new(), page);
    let mut missing = tables::NAMES.to_vec();
    while let Some((before, block)) = rest.split_once(BEGINS) {
        let endless = || PageFault::Endless(block.lines().next().unwrap_or_default().to_string());
        let (name, body) = block.split_once(BEGIN_ENDS).ok_or_else(endless)?;
        let (_, after) = body.split_once(ENDS).ok_or_else(endless)?;
        let table = tables::table(name, runs).ok_or_else(|| PageFault::Unknown(name.to_string()))?;
        missing.retain(|missing| *missing != name);
        filled.push_str(&format!("{before}{BEGINS}{name}{BEGIN_ENDS}{table}{ENDS}"));
        rest = after;
    }
    if let Some(name) = missing.first() {
        return Err(PageFault::Missing(name));
    }
    filled.push_str(rest);
    Ok(filled)
}
