//! Pool numbers for servers that DNS alone names.
//!
//! Procedures and trunk groups name pools by number, and a record carries none. A target that the settings
//! list has the number given there; any other gets the next free number from `first` on, in the order in
//! which targets are first seen (within one answer by priority, weight and name), and keeps it.

use std::collections::BTreeMap;

/// Numbers by target.
#[derive(Clone, Debug)]
pub struct PoolNumbers {
    given: BTreeMap<String, u16>,
    next: u16,
    most: usize,
}

impl PoolNumbers {
    /// `listed` are the settings' targets; at most `most` others get a number.
    pub fn new(listed: BTreeMap<String, u16>, first: u16, most: usize) -> PoolNumbers {
        let most = listed.len() + most;
        PoolNumbers {
            given: listed.into_iter().map(|(k, v)| (k.to_ascii_lowercase(), v)).collect(),
            next: first,
            most,
        }
    }

    /// The number of a target; none when there is none left.
    pub fn number_for(&mut self, target: &str) -> Option<u16> {
        let target = target.to_ascii_lowercase();
        if let Some(number) = self.given.get(&target) {
            return Some(*number);
        }
        // Guards memory, and numbers that others use, against a zone that names ever new targets.
        if self.given.len() >= self.most {
            return None;
        }
        while self.given.values().any(|n| *n == self.next) {
            self.next = self.next.checked_add(1)?;
        }
        let number = self.next;
        self.next = self.next.checked_add(1)?;
        self.given.insert(target, number);
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
