//! Records that are still good, negative answers among them, in bounded number.

use hickory_proto::rr::{Name, Record, RecordType};
use std::collections::BTreeMap;

/// What is known of one name and type.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Known {
    Records(Vec<Record>),
    /// The name does not exist or has no such records (RFC 2308).
    Nothing,
}

#[derive(Clone, Debug)]
struct Entry {
    known: Known,
    at: f64,
    until: f64,
}

#[derive(Clone, Debug)]
pub(crate) struct Cache {
    entries: BTreeMap<(Name, RecordType), Entry>,
    most: usize,
}

impl Cache {
    pub fn new(most: usize) -> Cache {
        Cache { entries: BTreeMap::new(), most }
    }

    /// What is known and not too old to build on: records within the first half of their time, so that a
    /// refresh asks anew; negative answers for the whole of it.
    pub fn get(&self, now: f64, name: &Name, kind: RecordType) -> Option<&Known> {
        let entry = self.entries.get(&(name.to_lowercase(), kind))?;
        let until = match entry.known {
            Known::Records(_) => entry.at + (entry.until - entry.at) / 2.0,
            Known::Nothing => entry.until,
        };
        (now < until).then_some(&entry.known)
    }

    pub fn put(&mut self, now: f64, name: &Name, kind: RecordType, known: Known, lifetime: f64) {
        let key = (name.to_lowercase(), kind);
        if self.entries.len() >= self.most && !self.entries.contains_key(&key) {
            self.entries.retain(|_, e| e.until > now);
            // Guards memory against answers that name more and more.
            while self.entries.len() >= self.most {
                let first = self.entries.iter().min_by(|a, b| a.1.until.total_cmp(&b.1.until));
                let Some(first) = first.map(|e| e.0.clone()) else { break };
                self.entries.remove(&first);
            }
        }
        self.entries.insert(key, Entry { known, at: now, until: now + lifetime });
    }

    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.entries.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn entries_end_and_are_bounded() {
        let name = |n: usize| Name::from_ascii(format!("n{n}.example.org.")).unwrap();
        let mut cache = Cache::new(10);
        cache.put(0.0, &name(0), RecordType::A, Known::Records(Vec::new()), 10.0);
        cache.put(0.0, &name(0), RecordType::AAAA, Known::Nothing, 10.0);
        let upper = Name::from_ascii("N0.EXAMPLE.ORG.").unwrap();
        assert!(cache.get(4.9, &upper, RecordType::A).is_some());
        assert!(cache.get(5.1, &name(0), RecordType::A).is_none());
        assert_eq!(cache.get(9.9, &name(0), RecordType::AAAA), Some(&Known::Nothing));
        assert!(cache.get(10.1, &name(0), RecordType::AAAA).is_none());
        for n in 0..100 {
            cache.put(1.0, &name(n), RecordType::A, Known::Nothing, 100.0);
        }
        assert!(cache.len() <= 10);
    }
}
