//! A scripted name server without I/O: a zone that can change, and the failure modes of name servers.

use hickory_proto::op::{Message, MessageType, Query, ResponseCode};
use hickory_proto::rr::rdata::{A, AAAA, CNAME, NS, SOA, SRV};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::IpAddr;

/// How a name server answers. Unless stated otherwise, answers are correct.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Script {
    #[default]
    Plain,
    /// Answers after this delay, seconds.
    Late(f64),
    /// This fraction of the answers is lost.
    Lossy(f64),
    /// Never answers.
    Silent,
    Servfail,
    Refused,
    Nxdomain,
    /// NOERROR without records.
    Empty,
    /// An answer with a wrong message id, then the correct answer.
    WrongId,
    /// Only an answer to another question.
    WrongQuestion,
    /// A referral to other name servers instead of an answer (lame delegation).
    Lame,
    /// All answers over UDP are truncated; TCP works.
    Truncates,
    /// All answers over UDP are truncated; questions over TCP are accepted and not answered.
    TcpHangs,
    /// No additional records, so that the addresses need a second question.
    NoAdditional,
    /// A forged record of another name is added, and an address for it.
    Lies,
    /// 600 records more than the zone has.
    TooLarge,
    /// FORMERR to questions with EDNS.
    NoEdns,
    /// Random bytes after a correct message id.
    Garbage,
}

/// One answer and its delay in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    pub after: f64,
    pub bytes: Vec<u8>,
}

/// One target of an SRV record set.
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
    /// Time to live of negative answers, seconds.
    pub negative: u32,
    pub script: Script,
    rng: ChaCha8Rng,
    /// Arrival time of each question, seconds.
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

    /// Sets all targets of an SRV name; without targets the record set is removed.
    pub fn publish(&mut self, name: &Name, entries: &[Entry], ttl: u32) {
        let record = |e: &Entry| {
            let srv = SRV::new(e.priority, e.weight, e.port, e.target.clone());
            Record::from_rdata(name.clone(), ttl, RData::SRV(srv))
        };
        self.set(name, RecordType::SRV, entries.iter().map(record).collect());
    }

    /// Sets the IPv4 and IPv6 addresses of a name.
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

    /// Sets a CNAME record.
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

    /// Answers one question according to the script.
    pub fn ask(&mut self, now: f64, bytes: &[u8], tcp: bool) -> Vec<Reply> {
        self.asked.push(now);
        let Ok(question) = Message::from_vec(bytes) else { return Vec::new() };
        let Some(query) = question.query().cloned() else { return Vec::new() };
        let immediate = |message: Message| vec![Reply { after: 0.0, bytes: encode(&message) }];
        let mut answer = self.answer(&question, &query);
        match self.script {
            Script::Plain => {}
            Script::Late(after) => return vec![Reply { after, bytes: encode(&answer) }],
            Script::Lossy(share) if self.rng.random::<f64>() < share => return Vec::new(),
            Script::Lossy(_) => {}
            Script::Silent => return Vec::new(),
            Script::TcpHangs if tcp => return Vec::new(),
            Script::Servfail => return immediate(response(&question, &query, ResponseCode::ServFail)),
            Script::Refused => return immediate(response(&question, &query, ResponseCode::Refused)),
            Script::Nxdomain => {
                let mut answer = response(&question, &query, ResponseCode::NXDomain);
                answer.add_name_server(self.soa());
                return immediate(answer);
            }
            Script::Empty => {
                let mut answer = response(&question, &query, ResponseCode::NoError);
                answer.add_name_server(self.soa());
                return immediate(answer);
            }
            Script::WrongId => {
                let mut wrong = answer.clone();
                wrong.set_id(answer.id().wrapping_add(1));
                let bytes = encode(&wrong);
                return vec![Reply { after: 0.0, bytes }, Reply { after: 0.0, bytes: encode(&answer) }];
            }
            Script::WrongQuestion => {
                let other = Name::from_ascii("other.example.net.").unwrap_or_default();
                answer.take_queries();
                answer.add_query(Query::query(other, query.query_type()));
            }
            Script::Lame => {
                let mut answer = response(&question, &query, ResponseCode::NoError);
                let elsewhere = NS(self.zone.clone());
                answer.set_authoritative(false);
                answer.add_name_server(Record::from_rdata(self.zone.clone(), 60, RData::NS(elsewhere)));
                return immediate(answer);
            }
            Script::Truncates | Script::TcpHangs if !tcp => return immediate(answer.truncate()),
            Script::Truncates | Script::TcpHangs => {}
            Script::NoAdditional => {
                answer.take_additionals();
            }
            Script::Lies => add_forged_records(&mut answer),
            Script::TooLarge => {
                for n in 0..600u16 {
                    let name = Name::from_ascii(format!("t{n}.example.net.")).unwrap_or_default();
                    let srv = SRV::new(1, 1, n, name);
                    answer.add_answer(Record::from_rdata(query.name().clone(), 60, RData::SRV(srv)));
                }
                if !tcp {
                    return immediate(answer.truncate());
                }
            }
            Script::NoEdns if question.extensions().is_some() => {
                return immediate(response(&question, &query, ResponseCode::FormErr));
            }
            Script::NoEdns => {}
            Script::Garbage => {
                let mut bytes = bytes[..2].to_vec();
                bytes.extend((0..40).map(|_| self.rng.random::<u8>()));
                return vec![Reply { after: 0.0, bytes }];
            }
        }
        let mut bytes = encode(&answer);
        if !tcp && bytes.len() > usize::from(question.max_payload().max(512)) {
            bytes = encode(&answer.truncate());
        }
        vec![Reply { after: 0.0, bytes }]
    }

    fn answer(&self, question: &Message, query: &Query) -> Message {
        let mut answer = response(question, query, ResponseCode::NoError);
        let mut name = query.name().clone();
        let mut found = false;
        // Follows a CNAME loop once around and returns it; detecting the loop is left to the resolver.
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
}

fn add_forged_records(answer: &mut Message) {
    let other = Name::from_ascii("evil.example.net.").unwrap_or_default();
    let srv = SRV::new(0, 100, 6666, other.clone());
    answer.add_answer(Record::from_rdata(other.clone(), 60, RData::SRV(srv)));
    let address = RData::A(A::new(127, 66, 66, 66));
    answer.add_additional(Record::from_rdata(other, 60, address));
}

/// Creates a response to a question, with this response code and without records.
fn response(question: &Message, query: &Query, code: ResponseCode) -> Message {
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

fn encode(message: &Message) -> Vec<u8> {
    // Messages of these records can always be encoded; a failure would look like a lost answer to the client.
    message.to_vec().unwrap_or_default()
}

/// Returns the SRV targets in an answer, if a resolver may accept it: it matches the question, is not
/// truncated, and has records of the queried name.
pub fn targets(question: &[u8], answer: &[u8]) -> Option<Vec<Name>> {
    let (question, answer) = (Message::from_vec(question).ok()?, Message::from_vec(answer).ok()?);
    let asked = question.query()?;
    let is_acceptable = answer.id() == question.id()
        && answer.query() == Some(asked)
        && !answer.truncated()
        && answer.response_code() == ResponseCode::NoError
        && answer.answers().len() < 256;
    let named = answer.answers().iter().filter(|r| r.name() == asked.name()).filter_map(|r| match r.data() {
        RData::SRV(srv) => Some(srv.target().clone()),
        _ => None,
    });
    let named: Vec<Name> = named.collect();
    (is_acceptable && !named.is_empty()).then_some(named)
}
