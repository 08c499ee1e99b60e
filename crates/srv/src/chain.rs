//! Aliases: from the name that was asked for along CNAME records (RFC 1034 section 3.6.2) to what was meant.

use hickory_proto::rr::{Name, RData, Record, RecordType};

/// Aliases followed in all.
pub(crate) const MOST_ALIASES: usize = 8;

/// Where a chain ends in a set of records.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum End {
    /// Records of the kind asked for, with the least lifetime of them and of the aliases on the way.
    Records {
        records: Vec<Record>,
        ttl: u32,
    },
    /// No record of this name is there; `ttl` is the least of the aliases on the way.
    Nothing {
        name: Name,
        ttl: u32,
    },
    Loop {
        at: Name,
    },
}

/// Follows aliases within `records`; `aliases` collects them over several answers.
pub(crate) fn follow(
    mut name: Name,
    kind: RecordType,
    records: &[Record],
    aliases: &mut Vec<(Name, Name)>,
) -> End {
    let mut ttl = u32::MAX;
    loop {
        // What is of another name says nothing of this one, whoever put it there.
        let own: Vec<&Record> = records.iter().filter(|r| r.name() == &name).collect();
        let wanted: Vec<Record> =
            own.iter().filter(|r| r.record_type() == kind).map(|r| (*r).clone()).collect();
        if !wanted.is_empty() {
            let least = wanted.iter().map(Record::ttl).fold(ttl, u32::min);
            return End::Records { records: wanted, ttl: least };
        }
        let alias = own.iter().find_map(|r| match r.data() {
            RData::CNAME(to) => Some((to.0.clone(), r.ttl())),
            _ => None,
        });
        let Some((to, alias_ttl)) = alias else { return End::Nothing { name, ttl } };
        let seen = aliases.iter().any(|(from, _)| from == &to) || to == name;
        aliases.push((name, to.clone()));
        if seen || aliases.len() > MOST_ALIASES {
            return End::Loop { at: to };
        }
        ttl = ttl.min(alias_ttl);
        name = to;
    }
}
