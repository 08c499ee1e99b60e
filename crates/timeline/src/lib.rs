//! Renders the events of a fleet as a text table: one column per node, one row per event, ordered by time.
//! Times are rounded, so that a run under virtual time always renders the same text.

use std::fmt;
use tabled::builder::Builder;
use tabled::settings::{Padding, Style};

/// An event of one node, or of none.
#[derive(Clone, Debug, PartialEq)]
struct Event {
    /// Time, seconds.
    at: f64,
    /// Index of the node; none for a global event.
    node: Option<usize>,
    description: String,
}

/// Events of several nodes and global events.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    nodes: Vec<String>,
    events: Vec<Event>,
    /// Times are rounded to multiples of this, seconds.
    resolution: f64,
}

impl Timeline {
    /// Creates an empty timeline with a column for each of `nodes`; times are rounded to `resolution`
    /// seconds.
    pub fn new(nodes: impl IntoIterator<Item = String>, resolution: f64) -> Timeline {
        Timeline { nodes: nodes.into_iter().collect(), events: Vec::new(), resolution }
    }

    /// Adds an event of a node. Events of the same time keep the order in which they are added.
    pub fn add(&mut self, at: f64, node: usize, description: impl Into<String>) {
        self.events.push(Event { at, node: Some(node), description: description.into() });
    }

    /// Adds a global event, such as a network cut or a failure.
    pub fn add_global(&mut self, at: f64, description: impl Into<String>) {
        self.events.push(Event { at, node: None, description: description.into() });
    }

    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// The rows of the table: rounded time, global event, event of each node. Consecutive equal events of
    /// different nodes share a row, which has the time of the first.
    fn rows(&self) -> Vec<(f64, Option<String>, Vec<Option<String>>)> {
        let mut events = self.events.clone();
        events.sort_by(|a, b| a.at.total_cmp(&b.at));
        let mut rows: Vec<(f64, Option<String>, Vec<Option<String>>)> = Vec::new();
        for event in events {
            let rounded = (event.at / self.resolution).round() * self.resolution;
            let Some(node) = event.node else {
                rows.push((rounded, Some(event.description), vec![None; self.nodes.len()]));
                continue;
            };
            let same = |cells: &[Option<String>]| {
                cells.iter().flatten().all(|description| *description == event.description)
            };
            match rows.last_mut() {
                Some((_, None, cells)) if cells[node].is_none() && same(cells) => {
                    cells[node] = Some(event.description);
                }
                _ => {
                    let mut cells = vec![None; self.nodes.len()];
                    cells[node] = Some(event.description);
                    rows.push((rounded, None, cells));
                }
            }
        }
        rows
    }
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut builder = Builder::default();
        let head = ["s".to_string(), "world".to_string()];
        builder.push_record(head.into_iter().chain(self.nodes.iter().cloned()));
        for (at, global, cells) in self.rows() {
            let places = if self.resolution < 1.0 { 1 } else { 0 };
            let head = [format!("{at:.places$}"), global.unwrap_or_default()];
            builder.push_record(head.into_iter().chain(cells.into_iter().map(Option::unwrap_or_default)));
        }
        let mut table = builder.build();
        table.with(Style::psql()).with(Padding::new(1, 1, 0, 0));
        let text = table.to_string();
        for line in text.lines() {
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_node_has_a_column_and_consecutive_equal_events_share_a_row() {
        let mut timeline = Timeline::new(["a", "b"].map(String::from), 1.0);
        timeline.add(2.2, 1, "north lost");
        timeline.add_global(0.4, "north fails");
        timeline.add(2.1, 0, "north lost");
        timeline.add(5.0, 0, "north returns");
        timeline.add(5.6, 0, "north up");
        insta::assert_snapshot!(timeline.to_string(), @r"
         s | world       | a             | b
        ---+-------------+---------------+------------
         0 | north fails |               |
         2 |             | north lost    | north lost
         5 |             | north returns |
         6 |             | north up      |
        ");
    }
}
