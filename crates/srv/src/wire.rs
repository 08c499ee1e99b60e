//! Encoding of queries and decoding of answers (RFC 1035 section 4), with the checks that an answer must
//! pass.

use crate::lookup::Question;
use crate::DropReason;
use hickory_proto::op::{Edns, Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{DNSClass, RData, Record, RecordType};

/// An answer that matches its query.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub code: ResponseCode,
    pub truncated: bool,
    pub answers: Vec<Record>,
    pub additionals: Vec<Record>,
    /// Lifetime of a negative answer in seconds, from the SOA record (RFC 2308 section 5); none without one.
    pub negative_ttl: Option<u32>,
    /// It is a referral to other name servers without an answer: the sender is no resolver for this name.
    pub lame: bool,
}

/// Encodes a query. `udp_size` is none for servers that don't support EDNS (RFC 6891 section 6.2.2).
pub(crate) fn encode_query(id: u16, question: &Question, udp_size: Option<u16>) -> Option<Vec<u8>> {
    let mut message = Message::new();
    message
        .set_id(id)
        .set_message_type(MessageType::Query)
        .set_op_code(OpCode::Query)
        .set_recursion_desired(true)
        .add_query(Query::query(question.name.clone(), question.kind));
    if let Some(size) = udp_size {
        let mut edns = Edns::new();
        edns.set_max_payload(size);
        message.set_edns(edns);
    }
    message.to_vec().ok()
}

/// Decodes an answer and checks that it matches the query with this id and question.
pub(crate) fn decode_reply(
    id: u16,
    question: &Question,
    bytes: &[u8],
    max_records: usize,
) -> Result<Reply, DropReason> {
    // The id is checked first, so that messages of other queries are not decoded at all.
    let message_id = bytes.get(..2).map(|b| u16::from_be_bytes([b[0], b[1]])).ok_or(DropReason::Malformed)?;
    if message_id != id {
        return Err(DropReason::WrongId);
    }
    let message = Message::from_vec(bytes).map_err(|_| DropReason::Malformed)?;
    if message.message_type() != MessageType::Response || message.op_code() != OpCode::Query {
        return Err(DropReason::NoAnswer);
    }
    let [echoed] = message.queries() else { return Err(DropReason::WrongQuestion) };
    let same_question = echoed.name() == &question.name
        && echoed.query_type() == question.kind
        && echoed.query_class() == DNSClass::IN;
    if !same_question {
        return Err(DropReason::WrongQuestion);
    }
    let sections = [message.answers(), message.name_servers(), message.additionals()];
    if sections.iter().map(|s| s.len()).sum::<usize>() > max_records {
        return Err(DropReason::TooLarge);
    }
    let soa_ttl = message.name_servers().iter().find_map(|r| match r.data() {
        RData::SOA(soa) => Some(soa.minimum().min(r.ttl())),
        _ => None,
    });
    let has_ns = message.name_servers().iter().any(|r| r.record_type() == RecordType::NS);
    let lame = message.response_code() == ResponseCode::NoError
        && message.answers().is_empty()
        && soa_ttl.is_none()
        && has_ns
        && !message.authoritative();
    let internet_records = |records: &[Record]| -> Vec<Record> {
        records.iter().filter(|r| r.dns_class() == DNSClass::IN).cloned().collect()
    };
    Ok(Reply {
        code: message.response_code(),
        truncated: message.truncated(),
        answers: internet_records(message.answers()),
        additionals: internet_records(message.additionals()),
        negative_ttl: soa_ttl,
        lame,
    })
}
