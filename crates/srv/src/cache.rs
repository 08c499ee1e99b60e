//! Cache of records and negative answers, limited in size.

use hickory_proto::rr::{Name, Record, RecordType};
use std::collections::BTreeMap;

/// Cached answer for one name and type.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Answer {
    Records(Vec<Record>),
    /// The name does not exist or has no records of the type (RFC 2308).
    Negative,
}

#[derive(Clone, Debug)]
struct Entry {
    answer: Answer,
    stored_at: f64,
    expires_at: f64,
}

#[derive(Clone, Debug)]
pub(crate) struct Cache {
    entries: BTreeMap<(Name, RecordType), Entry>,
    max_entries: usize,
}

impl Cache {
    pub fn new(max_entries: usize) -> Cache {
        Cache { entries: BTreeMap::new(), max_entries }
    }

    /// Returns a cached answer that is fresh enough. Records are returned only in the first half of their
    /// lifetime, so that a refresh sends a new query; negative answers are returned until they expire.
    pub fn get(&self, now: f64, name: &Name, kind: RecordType) -> Option<&Answer> {
        let entry = self.entries.get(&(name.to_lowercase(), kind))?;
        let usable_until = match entry.answer {
            Answer::Records(_) => entry.stored_at + (entry.expires_at - entry.stored_at) / 2.0,
            Answer::Negative => entry.expires_at,
        };
        (now < usable_until).then_some(&entry.answer)
    }

    /// Stores an answer. When the cache is full, expired entries are removed, then those that expire first.
    pub fn put(&mut self, now: f64, name: &Name, kind: RecordType, answer: Answer, lifetime: f64) {
        let key = (name.to_lowercase(), kind);
        if self.entries.len() >= self.max_entries && !self.entries.contains_key(&key) {
            self.entries.retain(|_, e| e.expires_at > now);
            // Bounds memory against answers that contain ever new names.
            while self.entries.len() >= self.max_entries {
                let first = self.entries.iter().min_by(|a, b| a.1.expires_at.total_cmp(&b.1.expires_at));
                let Some(first) = first.map(|e| e.0.clone()) else { break };
                self.entries.remove(&first);
            }
        }
        self.entries.insert(key, Entry { answer, stored_at: now, expires_at: now + lifetime });
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
    fn entries_expire_and_are_limited_in_number() {
        let name = |n: usize| Name::from_ascii(format!("n{n}.example.org.")).unwrap();
        let mut cache = Cache::new(10);
        cache.put(0.0, &name(0), RecordType::A, Answer::Records(Vec::new()), 10.0);
        cache.put(0.0, &name(0), RecordType::AAAA, Answer::Negative, 10.0);
        let upper = Name::from_ascii("N0.EXAMPLE.ORG.").unwrap();
        assert!(cache.get(4.9, &upper, RecordType::A).is_some());
        assert!(cache.get(5.1, &name(0), RecordType::A).is_none());
        assert_eq!(cache.get(9.9, &name(0), RecordType::AAAA), Some(&Answer::Negative));
        assert!(cache.get(10.1, &name(0), RecordType::AAAA).is_none());
        for n in 0..100 {
            cache.put(1.0, &name(n), RecordType::A, Answer::Negative, 100.0);
        }
        assert!(cache.len() <= 10);
    }
}
