//! The zone of a scenario: each server a target of one SRV name, on one or more scripted name servers.

use crate::scenario::Scenario;
use hickory_proto::rr::Name;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalespindle_standin::nameserver::{targets, Entry, NameServer, Reply, Script};
use shalespindle_standin::trace::ServerId;
use std::net::SocketAddr;

/// The name that fronts look up.
pub const SERVICE: &str = "_sip._tcp.auth.lab.";

/// The target of a server's record.
pub fn target(server: ServerId) -> String {
    format!("s{server}.auth.lab.")
}

/// Name servers with what they know.
pub struct Zone {
    servers: Vec<NameServer>,
    addresses: Vec<SocketAddr>,
    published: Vec<bool>,
    ttl: u32,
}

impl Zone {
    /// `addresses` are the fleet's servers; all are published at first.
    pub fn new(scenario: &Scenario, seed: u64, addresses: Vec<SocketAddr>) -> Zone {
        let dns = scenario.dns.clone().unwrap_or_default();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut server = || {
            let mut server = NameServer::new(name("lab."), rng.random());
            for (n, address) in addresses.iter().enumerate() {
                server.addresses(&name(&target(n)), &[address.ip()], dns.ttl);
            }
            server
        };
        let servers = (0..dns.name_servers).map(|_| server()).collect();
        let published = vec![true; addresses.len()];
        let mut zone = Zone { servers, addresses, published, ttl: dns.ttl };
        zone.tell();
        zone
    }

    fn tell(&mut self) {
        let entry = |s: usize| Entry {
            target: name(&target(s)),
            port: self.addresses[s].port(),
            priority: 10,
            weight: 10,
        };
        let entries: Vec<Entry> =
            (0..self.published.len()).filter(|s| self.published[*s]).map(entry).collect();
        let service = name(SERVICE);
        for server in &mut self.servers {
            server.publish(&service, &entries, self.ttl);
        }
    }

    /// A server's record is there, or no longer.
    pub fn publish(&mut self, server: ServerId, there: bool) {
        self.published[server] = there;
        self.tell();
    }

    pub fn script(&mut self, place: usize, script: Script) {
        self.servers[place].script = script;
    }

    /// Answers a question at the name server of that place; with it the servers that the last answer names,
    /// where it is one that a resolver may take.
    pub fn ask(
        &mut self,
        place: usize,
        now: f64,
        question: &[u8],
        tcp: bool,
    ) -> (Vec<Reply>, Option<Vec<ServerId>>) {
        let replies = self.servers[place].ask(now, question, tcp);
        let named = replies.iter().filter_map(|r| targets(question, &r.bytes)).next_back();
        let server = |n: &Name| (0..self.addresses.len()).find(|s| &name(&target(*s)) == n);
        (replies, named.map(|names| names.iter().filter_map(server).collect()))
    }

    /// When each question came, over all name servers.
    pub fn asked(&self) -> Vec<f64> {
        let mut all: Vec<f64> = self.servers.iter().flat_map(|s| s.asked.iter().copied()).collect();
        all.sort_by(f64::total_cmp);
        all
    }
}

/// A name of the lab's own making.
fn name(text: &str) -> Name {
    Name::from_ascii(text).unwrap_or_default()
}
