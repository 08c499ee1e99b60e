//! Aliases: follows CNAME records (RFC 1034 section 3.6.2) from the queried name to the name that has
//! records.

use hickory_proto::rr::{Name, RData, Record, RecordType};

/// Maximum number of aliases followed from one name, over all answers.
pub(crate) const MAX_ALIASES: usize = 8;

/// Where a chain of aliases ends within a set of records.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ChainEnd {
    /// Records of the queried type, with the lowest TTL of these records and of the aliases leading to them.
    Records { records: Vec<Record>, ttl: u32 },
    /// The set has no record for this name; `ttl` is the lowest TTL of the aliases leading to it, `u32::MAX`
    /// if there were none.
    NoRecords { name: Name, ttl: u32 },
    /// The chain loops or is too long.
    Loop { at: Name },
}

/// Follows aliases from `name` within `records`. `aliases` accumulates the followed ones over several
/// answers.
pub(crate) fn follow(
    mut name: Name,
    kind: RecordType,
    records: &[Record],
    aliases: &mut Vec<(Name, Name)>,
) -> ChainEnd {
    let mut ttl = u32::MAX;
    loop {
        // Records of other names are ignored: any server can put them into an answer.
        let own: Vec<&Record> = records.iter().filter(|r| r.name() == &name).collect();
        let matching: Vec<Record> =
            own.iter().filter(|r| r.record_type() == kind).map(|r| (*r).clone()).collect();
        if !matching.is_empty() {
            let min_ttl = matching.iter().map(Record::ttl).fold(ttl, u32::min);
            return ChainEnd::Records { records: matching, ttl: min_ttl };
        }
        let alias = own.iter().find_map(|r| match r.data() {
            RData::CNAME(to) => Some((to.0.clone(), r.ttl())),
            _ => None,
        });
        let Some((to, alias_ttl)) = alias else { return ChainEnd::NoRecords { name, ttl } };
        let seen = aliases.iter().any(|(from, _)| from == &to) || to == name;
        aliases.push((name, to.clone()));
        if seen || aliases.len() > MAX_ALIASES {
            return ChainEnd::Loop { at: to };
        }
        ttl = ttl.min(alias_ttl);
        name = to;
    }
}
