//! Generates the tables of the capacity page from the stored runs; the tables are never edited by hand.

mod data;
mod fit;
mod page;
mod tables;

pub use data::{Runs, RunsFault};
pub use fit::Line;
pub use page::{fill, PageFault};
