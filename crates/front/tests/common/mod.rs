//! A front driven directly by a test: messages are text, and the test advances the clock.
#![allow(dead_code)]

use shalespindle_control::interface::{ColdStart, Deployment, Procedure};
use shalespindle_front::params::FirstChoice;
use shalespindle_front::{Event, Front, Input, LinkId, Output, Params};
use shalespindle_membership::MembershipParams;
use shalespindle_signalling::message::Message;
use shalespindle_signalling::write::{ResponseHead, Writer};
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub const RELEASE_GUARD: f64 = 0.5;
pub const DRAIN_GRACE: f64 = 0.25;

pub fn params() -> Params {
    Params {
        deployment: Deployment {
            procedures: vec![Procedure {
                latency_target: 2.0,
                utility: 1.0,
                late_share: 0.25,
                t_timer: 9.0,
                pools: vec![0, 1, 2],
            }],
            may_probe: true,
            may_cancel: true,
            max_tries: 4,
            release_guard: RELEASE_GUARD,
            max_pause: 2.0,
            cold: ColdStart {
                start_capacity: 0.3,
                warm_after: 15.0,
                overload_multiple: 2.0,
                overload_window: 1.0,
            },
        },
        priorities: [("wps.1".to_string(), 0)].into(),
        trunk_groups: (0..3u16).map(|n| (format!("tg-{n}"), FirstChoice::Pool(n))).collect(),
        dns_groups: 0,
        has_peers: false,
        membership: MembershipParams::short(100),
        sites: None,
        dns: None,
        default_procedure: 0,
        tenants: Default::default(),
        levels: None,
        host: "front.example.org".into(),
        answer_margin: 0.05,
        max_pending: 200,
        max_queued_frames: 16,
        connect_timeout: 0.5,
        reconnect_pause: (0.1, 2.0),
        drain_grace: DRAIN_GRACE,
        shutdown_timeout: 10.0,
    }
}

pub fn server(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 6000 + n))
}

pub fn caller() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 5070))
}

/// A front, its scripted surroundings and its collected outputs.
pub struct Harness {
    pub front: Front,
    pub now: f64,
    /// Messages to callers, oldest first.
    pub answers: Vec<String>,
    /// Messages to servers, oldest first.
    pub frames: Vec<(SocketAddr, String)>,
    pub links: BTreeMap<SocketAddr, LinkId>,
    /// Closed links, with whether they were reset.
    pub closed: Vec<(SocketAddr, bool)>,
    pub events: Vec<Event>,
    /// Servers that refuse connections.
    pub refusing: Vec<SocketAddr>,
    /// Servers whose sockets are full: writes to them are reported as blocked.
    pub full_sockets: Vec<SocketAddr>,
    /// Queries to name servers: ticket, address, whether over TCP, bytes.
    pub questions: Vec<(u64, SocketAddr, bool, Vec<u8>)>,
    sequence: u64,
}

impl Harness {
    /// A front with three servers listed and connected.
    pub fn new(seed: u64) -> Harness {
        let mut harness = Harness::without_servers(Front::new(params(), seed, 1000.0));
        harness.front.record();
        harness.send_list(true, &[(0, "ready"), (1, "ready"), (2, "ready")]);
        // Past the time in which an INVITE may be a retransmission of one sent before the front started.
        harness.advance(10.0);
        harness.frames.clear();
        harness
    }

    /// Wraps a front that has no list of servers yet.
    pub fn without_servers(front: Front) -> Harness {
        Harness {
            front,
            now: 1000.0,
            answers: Vec::new(),
            frames: Vec::new(),
            links: BTreeMap::new(),
            closed: Vec::new(),
            events: Vec::new(),
            refusing: Vec::new(),
            full_sockets: Vec::new(),
            questions: Vec::new(),
            sequence: 0,
        }
    }

    pub fn send_list(&mut self, whole: bool, servers: &[(u16, &str)]) {
        self.sequence += 1;
        let rows: Vec<String> = servers
            .iter()
            .map(|(n, state)| {
                format!(r#"{{"address":"{}","pool":{n},"state":"{state}","incarnation":1}}"#, server(*n))
            })
            .collect();
        let line = format!(
            "{{\"epoch\":1,\"sequence\":{},\"whole\":{whole},\"servers\":[{}]}}\n",
            self.sequence,
            rows.join(",")
        );
        self.input(Input::FeedBytes { bytes: line.as_bytes() });
    }

    pub fn input(&mut self, input: Input) {
        self.front.take(self.now, self.now, input);
        self.collect_outputs();
    }

    pub fn collect_outputs(&mut self) {
        self.front.turn(self.now);
        while let Some(output) = self.front.next_output(self.now) {
            match output {
                Output::Datagram { bytes, .. } | Output::ToCaller { bytes, .. } => {
                    self.answers.push(String::from_utf8(bytes).unwrap());
                }
                Output::DnsQuery { ticket, to, tcp, bytes } => self.questions.push((ticket, to, tcp, bytes)),
                Output::CloseCaller { .. } | Output::DnsClose { .. } => {}
                Output::ServerListed(_)
                | Output::CallChanged { .. }
                | Output::FindCall { .. }
                | Output::SitesObserved(_) => {}
                Output::Connect { id, to } => {
                    let up = !self.refusing.contains(&to);
                    if up {
                        self.links.insert(to, id);
                    }
                    let input = if up { Input::Connected { id } } else { Input::LinkLost { id } };
                    self.front.take(self.now, self.now, input);
                    self.front.turn(self.now);
                }
                Output::ToServer { id, bytes } => {
                    let to = *self.links.iter().find(|l| *l.1 == id).expect("a link that is up").0;
                    if self.full_sockets.contains(&to) {
                        self.front.take(self.now, self.now, Input::Blocked { id });
                    }
                    let mut framer = shalespindle_signalling::Framer::default();
                    framer.push(&bytes);
                    while let Some(frame) = framer.next_frame().unwrap() {
                        self.frames.push((to, String::from_utf8(frame.to_vec()).unwrap()));
                    }
                }
                Output::CloseLink { id, reset } => {
                    if let Some((&to, _)) = self.links.iter().find(|l| *l.1 == id) {
                        self.links.remove(&to);
                        self.closed.push((to, reset));
                    }
                }
                Output::Event(event) => self.events.push(event),
            }
        }
    }

    /// Advances the clock and runs each timer at its time.
    pub fn advance(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.front.wake_at() <= until {
            self.now = self.front.wake_at().max(self.now);
            self.collect_outputs();
        }
        self.now = until;
        self.collect_outputs();
    }

    pub fn invite(&mut self, call: &str, group: &str, patience_ms: u32) {
        let text = invite(call, group, patience_ms);
        self.caller_sends(&text);
    }

    pub fn caller_sends(&mut self, text: &str) {
        self.input(Input::Datagram { from: caller(), bytes: text.as_bytes() });
    }

    pub fn server_sends(&mut self, n: u16, text: &str) {
        let id = self.links[&server(n)];
        self.input(Input::LinkBytes { id, bytes: text.as_bytes() });
    }

    /// The last INVITE to a server, and the server.
    pub fn last_invite_sent(&self) -> (SocketAddr, String) {
        self.frames.iter().rfind(|f| f.1.starts_with("INVITE")).expect("an INVITE").clone()
    }

    pub fn invites_sent(&self) -> usize {
        self.count("INVITE")
    }

    pub fn count(&self, method: &str) -> usize {
        self.frames.iter().filter(|f| f.1.starts_with(method)).count()
    }

    /// Statuses of the final answers to INVITEs.
    pub fn final_statuses(&self) -> Vec<u16> {
        let status = |text: &String| {
            let m = Message::parse(text.as_bytes()).unwrap();
            let invite = m.cseq().unwrap().1 == shalespindle_signalling::Method::Invite;
            match m.start {
                shalespindle_signalling::Start::Response { status, .. } if invite && status >= 200 => {
                    Some(status)
                }
                _ => None,
            }
        };
        self.answers.iter().filter_map(status).collect()
    }
}

pub fn invite(call: &str, group: &str, patience_ms: u32) -> String {
    format!(
        "INVITE sip:+91{call};tgrp={group};trunk-context=example.org@front SIP/2.0\r\n\
         Via: SIP/2.0/UDP 127.0.0.1:5070;rport;branch=z9hG4bK{call}\r\nMax-Forwards: 70\r\n\
         From: <sip:r@coop.example.org>;tag=c{call}\r\nTo: <sip:+91{call}@front>\r\nCall-ID: {call}\r\n\
         CSeq: 1 INVITE\r\nContact: <sip:r@127.0.0.1:5070>\r\nAttach-Patience-Ms: {patience_ms}\r\n\
         Session-ID: {call:0>32}\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Builds an answer to a request from its Via, From, To, Call-ID and CSeq, with additional header lines.
pub fn reply(request: &str, status: u16, more: &str) -> String {
    let head = ResponseHead::for_request(&Message::parse(request.as_bytes()).unwrap(), "s");
    String::from_utf8(Writer::response(status, &head).with_lines(more).finish()).unwrap()
}

/// Builds a caller's request in the dialog of the answer `answer`.
pub fn in_dialog_request(answer: &str, method: &str, branch: &str) -> String {
    let m = Message::parse(answer.as_bytes()).unwrap();
    format!(
        "{method} sip:front SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:5070;rport;branch=z9hG4bK{branch}\r\n\
         Max-Forwards: 70\r\nFrom: {}\r\nTo: {}\r\nCall-ID: {}\r\nCSeq: 2 {method}\r\nContent-Length: 0\r\n\r\n",
        m.from().unwrap(),
        m.to().unwrap(),
        m.call_id().unwrap()
    )
}
