//! The DNS zone of a scenario: each server is a target of one SRV name, served by one or more scripted name
//! servers.

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

/// The name servers and the records that they publish.
pub struct Zone {
    servers: Vec<NameServer>,
    /// Addresses of the servers of the fleet, by index.
    addresses: Vec<SocketAddr>,
    /// Whether the record of a server is in the zone.
    published: Vec<bool>,
    /// Lifetime of records, seconds.
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
        zone.publish_all();
        zone
    }

    /// Gives the current records to all name servers.
    fn publish_all(&mut self) {
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

    /// Adds a server's record to the zone, or withdraws it.
    pub fn publish(&mut self, server: ServerId, present: bool) {
        self.published[server] = present;
        self.publish_all();
    }

    /// Sets the behaviour of a name server.
    pub fn script(&mut self, index: usize, script: Script) {
        self.servers[index].script = script;
    }

    /// Sends a question to the name server of that index. Returns its replies, and the servers that the last
    /// reply names that a resolver may accept.
    pub fn ask(
        &mut self,
        index: usize,
        now: f64,
        question: &[u8],
        tcp: bool,
    ) -> (Vec<Reply>, Option<Vec<ServerId>>) {
        let replies = self.servers[index].ask(now, question, tcp);
        let named = replies.iter().filter_map(|r| targets(question, &r.bytes)).next_back();
        let server = |n: &Name| (0..self.addresses.len()).find(|s| &name(&target(*s)) == n);
        (replies, named.map(|names| names.iter().filter_map(server).collect()))
    }

    /// Arrival times of the questions at all name servers, in order.
    pub fn query_times(&self) -> Vec<f64> {
        let mut all: Vec<f64> = self.servers.iter().flat_map(|s| s.asked.iter().copied()).collect();
        all.sort_by(f64::total_cmp);
        all
    }
}

/// Parses a name that the lab generates itself and that is always valid.
fn name(text: &str) -> Name {
    Name::from_ascii(text).unwrap_or_default()
}
