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
    Unterminated(String),
    /// A table without a block on the page.
    #[error("the page has no block <!-- table: {0} -->")]
    Missing(&'static str),
}

const BLOCK_START: &str = "<!-- table: ";
const NAME_END: &str = " -->\n";
const BLOCK_END: &str = "<!-- end -->";

/// Returns the page with the content of every block replaced by the table generated from the runs.
pub fn fill(page: &str, runs: &Runs) -> Result<String, PageFault> {
    let (mut filled, mut rest) = (String::new(), page);
    let mut missing = tables::NAMES.to_vec();
    while let Some((before, block)) = rest.split_once(BLOCK_START) {
        let unterminated = || PageFault::Unterminated(block.lines().next().unwrap_or_default().to_string());
        let (name, body) = block.split_once(NAME_END).ok_or_else(unterminated)?;
        let (_, after) = body.split_once(BLOCK_END).ok_or_else(unterminated)?;
        let table = tables::table(name, runs).ok_or_else(|| PageFault::Unknown(name.to_string()))?;
        missing.retain(|missing| *missing != name);
        filled.push_str(&format!("{before}{BLOCK_START}{name}{NAME_END}{table}{BLOCK_END}"));
        rest = after;
    }
    if let Some(name) = missing.first() {
        return Err(PageFault::Missing(name));
    }
    filled.push_str(rest);
    Ok(filled)
}
