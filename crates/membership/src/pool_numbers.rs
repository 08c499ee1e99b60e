//! Pool numbers for servers that only DNS names.
//!
//! Procedures and trunk groups refer to pools by number, but a DNS record carries none. A target that the
//! settings list has the number given there. Any other target gets the next free number, from `first` on, in
//! the order in which targets are first seen (within one answer by priority, weight and name), and keeps it.

use std::collections::BTreeMap;

/// Pool numbers by DNS target.
#[derive(Clone, Debug)]
pub struct PoolNumbers {
    by_target: BTreeMap<String, u16>,
    next: u16,
    max_targets: usize,
}

impl PoolNumbers {
    /// `listed` holds the targets in the settings; at most `max_unlisted` others get a number.
    pub fn new(listed: BTreeMap<String, u16>, first: u16, max_unlisted: usize) -> PoolNumbers {
        let max_targets = listed.len() + max_unlisted;
        PoolNumbers {
            by_target: listed.into_iter().map(|(k, v)| (k.to_ascii_lowercase(), v)).collect(),
            next: first,
            max_targets,
        }
    }

    /// The number of a target, assigned on first use; none when no number is left.
    pub fn number_for(&mut self, target: &str) -> Option<u16> {
        let target = target.to_ascii_lowercase();
        if let Some(number) = self.by_target.get(&target) {
            return Some(*number);
        }
        // Bounds memory, and the use of free numbers, against a zone that names new targets without end.
        if self.by_target.len() >= self.max_targets {
            return None;
        }
        while self.by_target.values().any(|n| *n == self.next) {
            self.next = self.next.checked_add(1)?;
        }
        let number = self.next;
        self.next = self.next.checked_add(1)?;
        self.by_target.insert(target, number);
        Some(number)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn listed_targets_keep_their_numbers_and_others_get_free_ones() {
        let listed =
            BTreeMap::from([("S1.example.org.".to_string(), 1), ("s9.example.org.".to_string(), 101)]);
        let mut numbers = PoolNumbers::new(listed, 100, 3);
        assert_eq!(numbers.number_for("s1.EXAMPLE.org."), Some(1));
        assert_eq!(
            (numbers.number_for("a."), numbers.number_for("b."), numbers.number_for("a.")),
            (Some(100), Some(102), Some(100))
        );
        assert_eq!((numbers.number_for("c."), numbers.number_for("d.")), (Some(103), None));
        let mut full = PoolNumbers::new(BTreeMap::new(), u16::MAX, 9);
        assert_eq!(
            (full.number_for("a."), full.number_for("b.")),
            (None, None),
            "the last number has no successor"
        );
    }
}
