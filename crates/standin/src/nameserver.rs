//! A scripted name server without I/O: a zone that changes, and the ways in which name servers fail.

use hickory_proto::op::{Message, MessageType, Query, ResponseCode};
use hickory_proto::rr::rdata::{A, AAAA, CNAME, NS, SOA, SRV};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::IpAddr;

/// How it answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Script {
    #[default]
    Plain,
    /// So many seconds late.
    Late(f64),
    /// This share of its answers is lost.
    Lossy(f64),
    Silent,
    Servfail,
    Refused,
    Nxdomain,
    /// NOERROR without records.
    Empty,
    /// The id of another question, then the true answer.
    WrongId,
    /// Only an answer to another question.
    WrongQuestion,
    /// A referral elsewhere.
    Lame,
    /// Everything over UDP is cut short; TCP works.
    Truncates,
    /// The same, and TCP takes questions and answers none.
    TcpHangs,
    /// No additional records: addresses must be asked for.
    NoAdditional,
    /// Records of other names are mixed in, and an address for each of them.
    Lies,
    /// Hundreds of records.
    TooLarge,
    /// It knows no EDNS and says so.
    NoEdns,
    /// Bytes that are no message.
    Garbage,
}

/// One answer, and how long it takes to come.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    pub after: f64,
    pub bytes: Vec<u8>,
}

/// One target of an SRV name.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub target: Name,
    pub port: u16,
    pub priority: u16,
    pub weight: u16,
}

/// A name server and its zone.
#[derive(Clone, Debug)]
pub struct NameServer {
    records: BTreeMap<(Name, RecordType), Vec<Record>>,
    zone: Name,
    /// Lifetime of negative answers, seconds.
    pub negative: u32,
    pub script: Script,
    rng: ChaCha8Rng,
    /// When each question came.
    pub asked: Vec<f64>,
}

impl NameServer {
    pub fn new(zone: Name, seed: u64) -> NameServer {
        NameServer {
            records: BTreeMap::new(),
            zone,
            negative: 5,
            script: Script::Plain,
            rng: ChaCha8Rng::seed_from_u64(seed),
            asked: Vec::new(),
        }
    }

    /// All targets of an SRV name; none: the name goes.
    pub fn publish(&mut self, name: &Name, entries: &[Entry], ttl: u32) {
        let record = |e: &Entry| {
            let srv = SRV::new(e.priority, e.weight, e.port, e.target.clone());
            Record::from_rdata(name.clone(), ttl, RData::SRV(srv))
        };
        self.set(name, RecordType::SRV, entries.iter().map(record).collect());
    }

    pub fn addresses(&mut self, name: &Name, addresses: &[IpAddr], ttl: u32) {
        let record = |a: &IpAddr| {
            let data = match a {
                IpAddr::V4(v4) => RData::A(A(*v4)),
                IpAddr::V6(v6) => RData::AAAA(AAAA(*v6)),
            };
            Record::from_rdata(name.clone(), ttl, data)
        };
        let (v4, v6): (Vec<Record>, Vec<Record>) =
            addresses.iter().map(record).partition(|r| r.record_type() == RecordType::A);
        self.set(name, RecordType::A, v4);
        self.set(name, RecordType::AAAA, v6);
    }

    pub fn alias(&mut self, name: &Name, to: &Name, ttl: u32) {
        let record = Record::from_rdata(name.clone(), ttl, RData::CNAME(CNAME(to.clone())));
        self.set(name, RecordType::CNAME, vec![record]);
    }

    fn set(&mut self, name: &Name, kind: RecordType, records: Vec<Record>) {
        if records.is_empty() {
            self.records.remove(&(name.to_lowercase(), kind));
        } else {
            self.records.insert((name.to_lowercase(), kind), records);
        }
    }

    fn get(&self, name: &Name, kind: RecordType) -> &[Record] {
        self.records.get(&(name.to_lowercase(), kind)).map_or(&[], Vec::as_slice)
    }

    /// Answers one question as the script says.
    pub fn ask(&mut self, now: f64, bytes: &[u8], tcp: bool) -> Vec<Reply> {
        self.asked.push(now);
        let Ok(question) = Message::from_vec(bytes) else { return Vec::new() };
        let Some(query) = question.query().cloned() else { return Vec::new() };
        let at_once = |message: Message| vec![Reply { after: 0.0, bytes: written(&message) }];
        let mut answer = self.answer(&question, &query);
        match self.script {
            Script::Plain => {}
            Script::Late(after) => return vec![Reply { after, bytes: written(&answer) }],
            Script::Lossy(share) if self.rng.random::<f64>() < share => return Vec::new(),
            Script::Lossy(_) => {}
            Script::Silent => return Vec::new(),
            Script::TcpHangs if tcp => return Vec::new(),
            Script::Servfail => return at_once(code(&question, &query, ResponseCode::ServFail)),
            Script::Refused => return at_once(code(&question, &query, ResponseCode::Refused)),
            Script::Nxdomain => {
                let mut answer = code(&question, &query, ResponseCode::NXDomain);
                answer.add_name_server(self.soa());
                return at_once(answer);
            }
            Script::Empty => {
                let mut answer = code(&question, &query, ResponseCode::NoError);
                answer.add_name_server(self.soa());
                return at_once(answer);
            }
            Script::WrongId => {
                let mut wrong = answer.clone();
                wrong.set_id(answer.id().wrapping_add(1));
                let bytes = written(&wrong);
                return vec![Reply { after: 0.0, bytes }, Reply { after: 0.0, bytes: written(&answer) }];
            }
            Script::WrongQuestion => {
                let other = Name::from_ascii("other.example.net.").unwrap_or_default();
                answer.take_queries();
                answer.add_query(Query::query(other, query.query_type()));
            }
            Script::Lame => {
                let mut answer = code(&question, &query, ResponseCode::NoError);
                let elsewhere = NS(self.zone.clone());
                answer.set_authoritative(false);
                answer.add_name_server(Record::from_rdata(self.zone.clone(), 60, RData::NS(elsewhere)));
                return at_once(answer);
            }
            Script::Truncates | Script::TcpHangs if !tcp => return at_once(answer.truncate()),
            Script::Truncates | Script::TcpHangs => {}
            Script::NoAdditional => {
                answer.take_additionals();
            }
            Script::Lies => self.lie(&mut answer),
            Script::TooLarge => {
                for n in 0..600u16 {
                    let name = Name::from_ascii(format!("t{n}.example.net.")).unwrap_or_default();
                    let srv = SRV::new(1, 1, n, name);
                    answer.add_answer(Record::from_rdata(query.name().clone(), 60, RData::SRV(srv)));
                }
                if !tcp {
                    return at_once(answer.truncate());
                }
            }
            Script::NoEdns if question.extensions().is_some() => {
                return at_once(code(&question, &query, ResponseCode::FormErr));
            }
            Script::NoEdns => {}
            Script::Garbage => {
                let mut bytes = bytes[..2].to_vec();
                bytes.extend((0..40).map(|_| self.rng.random::<u8>()));
                return vec![Reply { after: 0.0, bytes }];
            }
        }
        let mut bytes = written(&answer);
        if !tcp && bytes.len() > usize::from(question.max_payload().max(512)) {
            bytes = written(&answer.truncate());
        }
        vec![Reply { after: 0.0, bytes }]
    }

    fn answer(&self, question: &Message, query: &Query) -> Message {
        let mut answer = code(question, query, ResponseCode::NoError);
        let mut name = query.name().clone();
        let mut found = false;
        // A loop in the zone is told as far as it goes once; its end is the asker's to see.
        for _ in 0..16 {
            let records = self.get(&name, query.query_type());
            if !records.is_empty() {
                found = true;
                answer.add_answers(records.to_vec());
                break;
            }
            let Some(alias) = self.get(&name, RecordType::CNAME).first() else { break };
            answer.add_answer(alias.clone());
            found = true;
            match alias.data() {
                RData::CNAME(to) if !answer.answers().iter().any(|r| r.name() == &to.0) => {
                    name = to.0.clone()
                }
                _ => break,
            }
        }
        let targets: Vec<Name> = answer
            .answers()
            .iter()
            .filter_map(|r| match r.data() {
                RData::SRV(srv) => Some(srv.target().clone()),
                _ => None,
            })
            .collect();
        for target in targets {
            answer.add_additionals(self.get(&target, RecordType::A).to_vec());
            answer.add_additionals(self.get(&target, RecordType::AAAA).to_vec());
        }
        if !found {
            let exists = self.records.keys().any(|k| k.0 == query.name().to_lowercase());
            answer.set_response_code(if exists { ResponseCode::NoError } else { ResponseCode::NXDomain });
            answer.add_name_server(self.soa());
        }
        answer
    }

    fn soa(&self) -> Record {
        let soa = SOA::new(self.zone.clone(), self.zone.clone(), 1, 3600, 600, 86_400, self.negative);
        Record::from_rdata(self.zone.clone(), self.negative, RData::SOA(soa))
    }

    fn lie(&self, answer: &mut Message) {
        let other = Name::from_ascii("evil.example.net.").unwrap_or_default();
        let srv = SRV::new(0, 100, 6666, other.clone());
        answer.add_answer(Record::from_rdata(other.clone(), 60, RData::SRV(srv)));
        let address = RData::A(A::new(127, 66, 66, 66));
        answer.add_additional(Record::from_rdata(other, 60, address));
    }
}

fn code(question: &Message, query: &Query, code: ResponseCode) -> Message {
    let mut message = Message::new();
    message
        .set_id(question.id())
        .set_message_type(MessageType::Response)
        .set_authoritative(true)
        .set_recursion_desired(question.recursion_desired())
        .set_response_code(code)
        .add_query(query.clone());
    message
}

fn written(message: &Message) -> Vec<u8> {
    // A message of our own records can be written; were one not, the asker would see a lost answer.
    message.to_vec().unwrap_or_default()
}

/// The targets that an answer names, where it is one that a resolver may take: to this question, whole, and
/// with records of the name that was asked for.
pub fn targets(question: &[u8], answer: &[u8]) -> Option<Vec<Name>> {
    let (question, answer) = (Message::from_vec(question).ok()?, Message::from_vec(answer).ok()?);
    let asked = question.query()?;
    let fits = answer.id() == question.id()
        && answer.query() == Some(asked)
        && !answer.truncated()
        && answer.response_code() == ResponseCode::NoError
        && answer.answers().len() < 256;
    let named = answer.answers().iter().filter(|r| r.name() == asked.name()).filter_map(|r| match r.data() {
        RData::SRV(srv) => Some(srv.target().clone()),
        _ => None,
    });
    let named: Vec<Name> = named.collect();
    (fits && !named.is_empty()).then_some(named)
}
