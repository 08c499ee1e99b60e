//! One look-up of an SRV name: first its SRV records, then the addresses of each target, from additional
//! records, from the cache or by further queries.

use crate::aliases::{follow, ChainEnd};
use crate::Target;
use hickory_proto::rr::{Name, RData, Record, RecordType};
use std::net::IpAddr;

/// Address types, in the order in which they are queried.
pub(crate) const ADDRESS_TYPES: [RecordType; 2] = [RecordType::A, RecordType::AAAA];

/// A question that a look-up needs answered.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Question {
    pub name: Name,
    pub kind: RecordType,
}

/// A target whose addresses are being resolved.
#[derive(Clone, Debug)]
pub(crate) struct PendingTarget {
    pub target: Target,
    /// Address types without an answer so far, each with the name that its chain of aliases has reached.
    pub unanswered: Vec<(RecordType, Name)>,
    pub aliases: Vec<(Name, Name)>,
    /// At least one of its questions got no usable answer.
    pub failed: bool,
}

/// State of a look-up.
#[derive(Clone, Debug)]
pub(crate) struct Lookup {
    /// Index of the name in the parameters.
    pub name_index: usize,
    /// The name whose SRV records are needed, after the aliases followed so far; none once they are known.
    pub srv_name: Option<Name>,
    pub aliases: Vec<(Name, Name)>,
    pub targets: Vec<PendingTarget>,
    /// Lowest TTL so far, in seconds.
    pub lifetime: f64,
}

/// State of a look-up after an answer about SRV records.
pub(crate) enum Progress {
    /// The remaining questions are in [`Lookup::questions`]; with none left, the look-up is complete.
    Continue,
    /// There are no servers.
    Empty,
    /// The chain of aliases loops or is too long.
    AliasLoop(Name),
}

impl Lookup {
    pub fn new(name_index: usize, name: Name) -> Lookup {
        Lookup {
            name_index,
            srv_name: Some(name),
            aliases: Vec::new(),
            targets: Vec::new(),
            lifetime: f64::INFINITY,
        }
    }

    /// Returns the questions that still need an answer.
    pub fn questions(&self) -> Vec<Question> {
        if let Some(name) = &self.srv_name {
            return vec![Question { name: name.clone(), kind: RecordType::SRV }];
        }
        let unanswered = self.targets.iter().flat_map(|t| &t.unanswered);
        unanswered.map(|(kind, name)| Question { name: name.clone(), kind: *kind }).collect()
    }

    /// Applies an answer to the SRV question; `additionals` are its additional records.
    pub fn apply_srv(&mut self, records: &[Record], additionals: &[Record]) -> Progress {
        let Some(name) = self.srv_name.take() else { return Progress::Continue };
        match follow(name, RecordType::SRV, records, &mut self.aliases) {
            ChainEnd::Loop { at } => Progress::AliasLoop(at),
            ChainEnd::NoRecords { name, ttl } => {
                if self.aliases.last().is_some_and(|a| a.1 == name) && ttl != u32::MAX {
                    self.lifetime = self.lifetime.min(f64::from(ttl));
                    self.srv_name = Some(name);
                    return Progress::Continue;
                }
                Progress::Empty
            }
            ChainEnd::Records { records, ttl } => {
                self.lifetime = self.lifetime.min(f64::from(ttl));
                for record in &records {
                    if let RData::SRV(srv) = record.data() {
                        // RFC 2782: the target "." means that the service is not available at this domain.
                        if srv.target().is_root() {
                            continue;
                        }
                        self.add_target(srv.target(), srv.port(), srv.priority(), srv.weight(), additionals);
                    }
                }
                if self.targets.is_empty() {
                    return Progress::Empty;
                }
                Progress::Continue
            }
        }
    }

    fn add_target(&mut self, name: &Name, port: u16, priority: u16, weight: u16, additionals: &[Record]) {
        let target = Target { name: name.clone(), port, priority, weight, addresses: Vec::new() };
        let mut pending = PendingTarget {
            target,
            unanswered: ADDRESS_TYPES.iter().map(|kind| (*kind, name.clone())).collect(),
            aliases: Vec::new(),
            failed: false,
        };
        // A server may leave out any additional records. If at least one address of the target is there,
        // the addresses are treated as complete; if none is, they are queried.
        let given: Vec<Record> = additionals
            .iter()
            .filter(|r| r.name() == name && ADDRESS_TYPES.contains(&r.record_type()))
            .cloned()
            .collect();
        if !given.is_empty() {
            pending.unanswered.clear();
            pending.add_addresses(&given);
            let ttl = given.iter().map(Record::ttl).min().unwrap_or(0);
            self.lifetime = self.lifetime.min(f64::from(ttl));
        }
        self.targets.push(pending);
    }

    /// Applies an answer to an address question. Returns the name at which its aliases loop, if they do.
    pub fn apply_addresses(&mut self, question: &Question, records: &[Record]) -> Option<Name> {
        let mut alias_loop = None;
        for pending in &mut self.targets {
            let is_asked = |u: &(RecordType, Name)| u.0 == question.kind && u.1 == question.name;
            let Some(position) = pending.unanswered.iter().position(is_asked) else { continue };
            pending.unanswered.swap_remove(position);
            // Each address type has its own chain of aliases; the limit on their number is shared.
            match follow(question.name.clone(), question.kind, records, &mut pending.aliases) {
                ChainEnd::Records { records, ttl } => {
                    self.lifetime = self.lifetime.min(f64::from(ttl));
                    pending.add_addresses(&records);
                }
                ChainEnd::NoRecords { name, ttl } if ttl != u32::MAX => {
                    self.lifetime = self.lifetime.min(f64::from(ttl));
                    pending.unanswered.push((question.kind, name));
                }
                ChainEnd::NoRecords { .. } => {}
                ChainEnd::Loop { at } => {
                    pending.failed = true;
                    alias_loop = Some(at);
                }
            }
        }
        alias_loop
    }

    /// Records that a question got no usable answer in any of its tries.
    pub fn question_failed(&mut self, question: &Question) {
        for pending in &mut self.targets {
            let before = pending.unanswered.len();
            pending.unanswered.retain(|u| !(u.0 == question.kind && u.1 == question.name));
            pending.failed |= pending.unanswered.len() != before;
        }
    }
}

impl PendingTarget {
    fn add_addresses(&mut self, records: &[Record]) {
        for record in records {
            let address = match record.data() {
                RData::A(a) => IpAddr::V4(a.0),
                RData::AAAA(a) => IpAddr::V6(a.0),
                _ => continue,
            };
            if !self.target.addresses.contains(&address) {
                self.target.addresses.push(address);
            }
        }
    }
}
