//! How a coordinator serves its clients: one update after the other, within what it may send.

use crate::coordinator::Coordinator;
use crate::message::{Continuity, Message, Update};
use crate::statement::{NodeId, Statement};
use crate::store::Filter;
use crate::Outgoing;

/// Updates to one client that may be under way at once.
const MOST_IN_FLIGHT: usize = 8;
/// A snapshot of which nothing has been sent for so many times `resend_after` holds up no other.
const STALLED: f64 = 4.0;

impl Coordinator {
    pub(crate) fn refill(&mut self, now: f64) {
        let rate = self.params.max_bytes_per_second;
        let gained = rate * (now - self.allowance_at).max(0.0);
        self.allowance = (self.allowance + gained).min(rate);
        self.allowance_at = now;
    }

    /// Tells each client what is news to it, in turn, as far as the allowance goes.
    pub(crate) fn serve_clients(&mut self, now: f64) {
        let mut clients: Vec<NodeId> = self.sessions.keys().copied().collect();
        let served = self.served_last.map_or(0, |last| clients.partition_point(|client| *client <= last));
        clients.rotate_left(served);
        for client in clients {
            if self.allowance < 0.0 {
                self.poll_soon(now);
                return;
            }
            self.served_last = Some(client);
            while self.serve(now, client) {}
        }
    }

    /// Sends a client one update, if one is due; true where more may follow at once.
    fn serve(&mut self, now: f64, client: NodeId) -> bool {
        let stalled_after = STALLED * self.params.resend_after;
        let snapshots =
            self.sessions.values().filter(|session| session.takes_snapshot(now, stalled_after)).count();
        let Some(session) = self.sessions.get_mut(&client) else { return false };
        let in_flight = session.in_flight;
        session.resend_if_due(now, self.params.resend_after);
        self.counts.resent += (in_flight - session.in_flight) as u64;
        let begins = session.acknowledged.is_none() && session.told == 0;
        if begins && (session.subscription_number == 0 || session.digest.is_none()) {
            // A client that only asks whether anybody is there, or took this process for the one before: it says what
            // it wants and holds when it knows.
            if std::mem::take(&mut session.wants_answer) {
                self.send_update(now, client, Continuity::Delta, 0, 0, Vec::new());
            }
            return false;
        }
        let digest = match &session.filter {
            _ if !begins => None,
            Filter::Servers(_) => Some(self.store.digest(&session.filter)),
            Filter::Everything | Filter::Direct => Some(self.store.replica_digest()),
        };
        if begins && session.digest == digest {
            self.counts.confirmed += 1;
            let to = self.store.revision();
            self.send_update(now, client, Continuity::Confirmed, 0, to, Vec::new());
            return false;
        }
        if begins && snapshots >= self.params.max_snapshots {
            let asks = std::mem::take(&mut session.wants_answer);
            if asks {
                self.turn_away(client);
            }
            return false;
        }
        let has_news = session.scanned < self.store.revision() && session.in_flight < MOST_IN_FLIGHT;
        if !has_news {
            if std::mem::take(&mut session.wants_answer) {
                let (from, to) = (session.told, session.scanned);
                self.send_update(now, client, Continuity::Delta, from, to, Vec::new());
            }
            return false;
        }
        let is_snapshot = begins || session.snapshot_until.is_some();
        let (filter, bytes) = match &session.filter {
            filter @ Filter::Servers(_) => (filter, self.params.update_bytes),
            _ if is_snapshot => (&Filter::Everything, self.params.replica_update_bytes),
            _ => (&Filter::Direct, self.params.replica_update_bytes),
        };
        let page = self.store.changes_after(session.scanned, filter, bytes);
        session.scanned = page.to;
        if page.statements.is_empty() && !session.wants_answer && !begins {
            return true;
        }
        let from = session.told;
        if begins {
            session.snapshot_until = Some(self.store.revision());
            self.counts.snapshots += 1;
        }
        let continuity = if begins { Continuity::SnapshotBegins } else { Continuity::Delta };
        self.send_update(now, client, continuity, from, page.to, page.statements);
        self.allowance >= 0.0
    }

    fn send_update(
        &mut self,
        now: f64,
        client: NodeId,
        continuity: Continuity,
        from: u64,
        to: u64,
        statements: Vec<Statement>,
    ) {
        let Some(session) = self.sessions.get_mut(&client) else { return };
        let bytes: usize = statements.iter().map(Statement::size).sum();
        session.wants_answer = false;
        // What carries no news is not waited for: what follows it begins where it began.
        if !statements.is_empty() || continuity != Continuity::Delta {
            (session.told, session.scanned) = (to, session.scanned.max(to));
            (session.told_at, session.in_flight) = (now, session.in_flight + 1);
            self.poll_at = self.poll_at.min(now + self.params.resend_after);
        }
        let is_replica = !matches!(session.filter, Filter::Servers(_));
        let update = Update {
            coordinator: self.incarnation,
            client: session.incarnation,
            from,
            to,
            revision: self.store.revision(),
            continuity,
            statements,
            published: session.published,
            subscription_number: session.subscription_number,
            replica_digest: is_replica.then(|| self.store.replica_digest()),
        };
        self.counts.updates += 1;
        self.counts.statement_bytes += bytes as u64;
        self.allowance -= bytes as f64;
        self.outgoing.push_back(Outgoing { to: client, message: Message::Update(update) });
    }
}
