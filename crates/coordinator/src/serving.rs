//! How a coordinator serves its clients: one update at a time, within its send budget.

use crate::coordinator::Coordinator;
use crate::message::{Continuity, Message, Update};
use crate::statement::{NodeId, Statement};
use crate::store::Filter;
use crate::Outgoing;

/// Maximum number of updates in flight to one client.
const MAX_IN_FLIGHT: usize = 8;
/// A snapshot of which nothing was sent for this many times `resend_after` no longer counts against
/// `max_snapshots`.
const STALLED_AFTER_RESENDS: f64 = 4.0;

impl Coordinator {
    pub(crate) fn refill_send_budget(&mut self, now: f64) {
        let rate = self.params.max_bytes_per_second;
        let gained = rate * (now - self.budget_at).max(0.0);
        self.send_budget = (self.send_budget + gained).min(rate);
        self.budget_at = now;
    }

    /// Sends each client its changes, in round-robin order, until the send budget is used up.
    pub(crate) fn serve_clients(&mut self, now: f64) {
        let mut clients: Vec<NodeId> = self.sessions.keys().copied().collect();
        let already_served =
            self.last_served.map_or(0, |last| clients.partition_point(|client| *client <= last));
        clients.rotate_left(already_served);
        for client in clients {
            if self.send_budget < 0.0 {
                self.schedule_poll(now);
                return;
            }
            self.last_served = Some(client);
            while self.serve(now, client) {}
        }
    }

    /// Sends a client one update, if there is one to send; returns true if another may follow at once.
    fn serve(&mut self, now: f64, client: NodeId) -> bool {
        let stalled_after = STALLED_AFTER_RESENDS * self.params.resend_after;
        let snapshots = self
            .sessions
            .values()
            .filter(|session| session.is_receiving_snapshot(now, stalled_after))
            .count();
        let Some(session) = self.sessions.get_mut(&client) else { return false };
        let in_flight = session.in_flight;
        session.resend_if_due(now, self.params.resend_after);
        self.counts.resent += (in_flight - session.in_flight) as u64;
        let starts_over = session.acknowledged.is_none() && session.sent_revision == 0;
        if starts_over && (session.subscription_number == 0 || session.digest.is_none()) {
            // The client only probes whether this coordinator is up, or its cursor is of this coordinator's
            // previous process. It sends its subscription and its digest once it has this answer.
            if std::mem::take(&mut session.wants_answer) {
                self.send_update(now, client, Continuity::Delta, 0, 0, Vec::new());
            }
            return false;
        }
        let digest = match &session.filter {
            _ if !starts_over => None,
            Filter::Servers(_) => Some(self.store.digest(&session.filter)),
            Filter::Everything | Filter::Direct => Some(self.store.replica_digest()),
        };
        if starts_over && session.digest == digest {
            self.counts.confirmed += 1;
            let to = self.store.revision();
            self.send_update(now, client, Continuity::Confirmed, 0, to, Vec::new());
            return false;
        }
        if starts_over && snapshots >= self.params.max_snapshots {
            let wants_answer = std::mem::take(&mut session.wants_answer);
            if wants_answer {
                self.reject_as_busy(client);
            }
            return false;
        }
        let has_changes = session.scanned < self.store.revision() && session.in_flight < MAX_IN_FLIGHT;
        if !has_changes {
            if std::mem::take(&mut session.wants_answer) {
                let (from, to) = (session.sent_revision, session.scanned);
                self.send_update(now, client, Continuity::Delta, from, to, Vec::new());
            }
            return false;
        }
        let is_snapshot = starts_over || session.snapshot_until.is_some();
        let (filter, bytes) = match &session.filter {
            filter @ Filter::Servers(_) => (filter, self.params.update_bytes),
            _ if is_snapshot => (&Filter::Everything, self.params.replica_update_bytes),
            _ => (&Filter::Direct, self.params.replica_update_bytes),
        };
        let page = self.store.changes_after(session.scanned, filter, bytes);
        session.scanned = page.to;
        if page.statements.is_empty() && !session.wants_answer && !starts_over {
            return true;
        }
        let from = session.sent_revision;
        if starts_over {
            session.snapshot_until = Some(self.store.revision());
            self.counts.snapshots += 1;
        }
        let continuity = if starts_over { Continuity::SnapshotBegins } else { Continuity::Delta };
        self.send_update(now, client, continuity, from, page.to, page.statements);
        self.send_budget >= 0.0
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
        // An update without changes is not acknowledged, so the next update starts at the same revision.
        if !statements.is_empty() || continuity != Continuity::Delta {
            (session.sent_revision, session.scanned) = (to, session.scanned.max(to));
            (session.sent_at, session.in_flight) = (now, session.in_flight + 1);
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
        self.send_budget -= bytes as f64;
        self.outgoing.push_back(Outgoing { to: client, message: Message::Update(update) });
    }
}
