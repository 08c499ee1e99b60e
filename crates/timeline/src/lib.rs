//! What happened across a fleet as text: one column a node, one row an event, in causal order, for people who were not
//! there. Times are rounded, so that the text of a run under virtual time is the same every time.

use std::fmt;
use tabled::builder::Builder;
use tabled::settings::{Padding, Style};

/// What one node did or saw.
#[derive(Clone, Debug, PartialEq)]
struct Event {
    at: f64,
    /// The place of its node; none: it happened to the world.
    node: Option<usize>,
    what: String,
}

/// Events of several nodes.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    nodes: Vec<String>,
    events: Vec<Event>,
    /// Times are told as multiples of this, seconds.
    step: f64,
}

impl Timeline {
    pub fn new(nodes: impl IntoIterator<Item = String>, step: f64) -> Timeline {
        Timeline { nodes: nodes.into_iter().collect(), events: Vec::new(), step }
    }

    /// A node did or saw something. Events of one moment stay in the order in which they are told.
    pub fn add(&mut self, at: f64, node: usize, what: impl Into<String>) {
        self.events.push(Event { at, node: Some(node), what: what.into() });
    }

    /// Something happened to the world: a cut, a kill.
    pub fn add_global(&mut self, at: f64, what: impl Into<String>) {
        self.events.push(Event { at, node: None, what: what.into() });
    }

    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Rows: nodes that did the same one after the other, with nothing else between, share one.
    fn rows(&self) -> Vec<(f64, Option<String>, Vec<Option<String>>)> {
        let mut events = self.events.clone();
        events.sort_by(|a, b| a.at.total_cmp(&b.at));
        let mut rows: Vec<(f64, Option<String>, Vec<Option<String>>)> = Vec::new();
        for event in events {
            let rounded = (event.at / self.step).round() * self.step;
            let Some(node) = event.node else {
                rows.push((rounded, Some(event.what), vec![None; self.nodes.len()]));
                continue;
            };
            let same = |cells: &[Option<String>]| cells.iter().flatten().all(|what| *what == event.what);
            match rows.last_mut() {
                Some((_, None, cells)) if cells[node].is_none() && same(cells) => {
                    cells[node] = Some(event.what);
                }
                _ => {
                    let mut cells = vec![None; self.nodes.len()];
                    cells[node] = Some(event.what);
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
        for (at, world, cells) in self.rows() {
            let places = if self.step < 1.0 { 1 } else { 0 };
            let head = [format!("{at:.places$}"), world.unwrap_or_default()];
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
    fn one_column_a_node_and_what_several_do_alike_in_one_row() {
        let mut timeline = Timeline::new(["a", "b"].map(String::from), 1.0);
        timeline.add(2.2, 1, "north lost");
        timeline.add_global(0.4, "north dies");
        timeline.add(2.1, 0, "north lost");
        timeline.add(5.0, 0, "north returns");
        timeline.add(5.6, 0, "north up");
        insta::assert_snapshot!(timeline.to_string(), @r"
         s | world      | a             | b
        ---+------------+---------------+------------
         0 | north dies |               |
         2 |            | north lost    | north lost
         5 |            | north returns |
         6 |            | north up      |
        ");
    }
}
