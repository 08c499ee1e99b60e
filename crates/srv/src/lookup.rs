//! One look-up of an SRV name: its records, then the addresses of each target, from additional records, from
//! what is known, or by questions of their own.

use crate::chain::{follow, End};
use crate::Target;
use hickory_proto::rr::{Name, RData, Record, RecordType};
use std::net::IpAddr;

/// The kinds of address, in the order in which they are asked for.
pub(crate) const ADDRESSES: [RecordType; 2] = [RecordType::A, RecordType::AAAA];

/// A question that a look-up waits for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Want {
    pub name: Name,
    pub kind: RecordType,
}

/// A target whose addresses are on the way.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub target: Target,
    /// Kinds of address not yet answered, with the name that the chain of aliases has come to.
    pub open: Vec<(RecordType, Name)>,
    pub aliases: Vec<(Name, Name)>,
    /// A question of it got no answer.
    pub failed: bool,
}

/// Where a look-up is.
#[derive(Clone, Debug)]
pub(crate) struct Lookup {
    pub place: usize,
    /// The name that the chain has come to; none once its records are there.
    pub open: Option<Name>,
    pub aliases: Vec<(Name, Name)>,
    pub targets: Vec<Pending>,
    /// The least lifetime so far, seconds.
    pub lifetime: f64,
}

/// What records came to for a look-up.
pub(crate) enum Progress {
    /// On to these questions, or done when there are none.
    On,
    Empty,
    Loop(Name),
}

impl Lookup {
    pub fn new(place: usize, name: Name) -> Lookup {
        Lookup { place, open: Some(name), aliases: Vec::new(), targets: Vec::new(), lifetime: f64::INFINITY }
    }

    /// Questions whose answers are still wanted.
    pub fn wants(&self) -> Vec<Want> {
        if let Some(name) = &self.open {
            return vec![Want { name: name.clone(), kind: RecordType::SRV }];
        }
        let open = self.targets.iter().flat_map(|t| &t.open);
        open.map(|(kind, name)| Want { name: name.clone(), kind: *kind }).collect()
    }

    /// Records for the SRV name itself; `more` are additional ones.
    pub fn srv(&mut self, records: &[Record], more: &[Record]) -> Progress {
        let Some(name) = self.open.take() else { return Progress::On };
        match follow(name, RecordType::SRV, records, &mut self.aliases) {
            End::Loop { at } => Progress::Loop(at),
            End::Nothing { name, ttl } => {
                if self.aliases.last().is_some_and(|a| a.1 == name) && ttl != u32::MAX {
                    self.lifetime = self.lifetime.min(f64::from(ttl));
                    self.open = Some(name);
                    return Progress::On;
                }
                Progress::Empty
            }
            End::Records { records, ttl } => {
                self.lifetime = self.lifetime.min(f64::from(ttl));
                for record in &records {
                    if let RData::SRV(srv) = record.data() {
                        // RFC 2782: a target of "." says that the service is not there.
                        if srv.target().is_root() {
                            continue;
                        }
                        self.target(srv.target(), srv.port(), srv.priority(), srv.weight(), more);
                    }
                }
                if self.targets.is_empty() {
                    return Progress::Empty;
                }
                Progress::On
            }
        }
    }

    fn target(&mut self, name: &Name, port: u16, priority: u16, weight: u16, more: &[Record]) {
        let target = Target { name: name.clone(), port, priority, weight, addresses: Vec::new() };
        let mut pending = Pending {
            target,
            open: ADDRESSES.iter().map(|kind| (*kind, name.clone())).collect(),
            aliases: Vec::new(),
            failed: false,
        };
        // Additional records may be left out at will: what is there is all there is only if one is there.
        let given: Vec<Record> = more
            .iter()
            .filter(|r| r.name() == name && ADDRESSES.contains(&r.record_type()))
            .cloned()
            .collect();
        if !given.is_empty() {
            pending.open.clear();
            pending.addresses(&given);
            let ttl = given.iter().map(Record::ttl).min().unwrap_or(0);
            self.lifetime = self.lifetime.min(f64::from(ttl));
        }
        self.targets.push(pending);
    }

    /// Records for an address question; where its aliases loop, the name at which they do.
    pub fn address(&mut self, want: &Want, records: &[Record]) -> Option<Name> {
        let mut looped = None;
        for pending in &mut self.targets {
            let is_it = |o: &(RecordType, Name)| o.0 == want.kind && o.1 == want.name;
            let Some(open) = pending.open.iter().position(is_it) else { continue };
            pending.open.swap_remove(open);
            // Each kind has its own chain; their lengths are bounded together.
            match follow(want.name.clone(), want.kind, records, &mut pending.aliases) {
                End::Records { records, ttl } => {
                    self.lifetime = self.lifetime.min(f64::from(ttl));
                    pending.addresses(&records);
                }
                End::Nothing { name, ttl } if ttl != u32::MAX => {
                    self.lifetime = self.lifetime.min(f64::from(ttl));
                    pending.open.push((want.kind, name));
                }
                End::Nothing { .. } => {}
                End::Loop { at } => {
                    pending.failed = true;
                    looped = Some(at);
                }
            }
        }
        looped
    }

    /// No answer to that question is to be had.
    pub fn failed(&mut self, want: &Want) {
        for pending in &mut self.targets {
            let before = pending.open.len();
            pending.open.retain(|o| !(o.0 == want.kind && o.1 == want.name));
            pending.failed |= pending.open.len() != before;
        }
    }
}

impl Pending {
    fn addresses(&mut self, records: &[Record]) {
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
