//! Questions and answers as bytes (RFC 1035 section 4), with the checks that an answer must pass.

use crate::lookup::Want;
use crate::DropReason;
use hickory_proto::op::{Edns, Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{DNSClass, RData, Record, RecordType};

/// An answer that belongs to its question.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub code: ResponseCode,
    pub truncated: bool,
    pub answers: Vec<Record>,
    pub additionals: Vec<Record>,
    /// Lifetime of a negative answer by its SOA record (RFC 2308 section 5); none without one.
    pub negative: Option<u32>,
    /// It says neither yes nor no, and sends elsewhere: its server is no resolver for this name.
    pub lame: bool,
}

/// The question's bytes; without EDNS for servers that do not know it (RFC 6891 section 6.2.2).
pub(crate) fn write(id: u16, want: &Want, udp_size: Option<u16>) -> Option<Vec<u8>> {
    let mut message = Message::new();
    message
        .set_id(id)
        .set_message_type(MessageType::Query)
        .set_op_code(OpCode::Query)
        .set_recursion_desired(true)
        .add_query(Query::query(want.name.clone(), want.kind));
    if let Some(size) = udp_size {
        let mut edns = Edns::new();
        edns.set_max_payload(size);
        message.set_edns(edns);
    }
    message.to_vec().ok()
}

/// Reads an answer and checks that it is one to this question.
pub(crate) fn read(id: u16, want: &Want, bytes: &[u8], most_records: usize) -> Result<Reply, DropReason> {
    // The id alone first: what is not ours is not worth reading.
    let told = bytes.get(..2).map(|b| u16::from_be_bytes([b[0], b[1]])).ok_or(DropReason::Malformed)?;
    if told != id {
        return Err(DropReason::WrongId);
    }
    let message = Message::from_vec(bytes).map_err(|_| DropReason::Malformed)?;
    if message.message_type() != MessageType::Response || message.op_code() != OpCode::Query {
        return Err(DropReason::NoAnswer);
    }
    let [asked] = message.queries() else { return Err(DropReason::WrongQuestion) };
    let same =
        asked.name() == &want.name && asked.query_type() == want.kind && asked.query_class() == DNSClass::IN;
    if !same {
        return Err(DropReason::WrongQuestion);
    }
    let sections = [message.answers(), message.name_servers(), message.additionals()];
    if sections.iter().map(|s| s.len()).sum::<usize>() > most_records {
        return Err(DropReason::TooLarge);
    }
    let soa = message.name_servers().iter().find_map(|r| match r.data() {
        RData::SOA(soa) => Some(soa.minimum().min(r.ttl())),
        _ => None,
    });
    let refers = message.name_servers().iter().any(|r| r.record_type() == RecordType::NS);
    let lame = message.response_code() == ResponseCode::NoError
        && message.answers().is_empty()
        && soa.is_none()
        && refers
        && !message.authoritative();
    let ours = |records: &[Record]| -> Vec<Record> {
        records.iter().filter(|r| r.dns_class() == DNSClass::IN).cloned().collect()
    };
    Ok(Reply {
        code: message.response_code(),
        truncated: message.truncated(),
        answers: ours(message.answers()),
        additionals: ours(message.additionals()),
        negative: soa,
        lame,
    })
}
