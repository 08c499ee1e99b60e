//! The capacity page: its tables are written from the runs kept beside it, never by hand.

mod data;
mod fit;
mod page;
mod tables;

pub use data::{Runs, RunsFault};
pub use fit::Line;
pub use page::{fill, PageFault};
