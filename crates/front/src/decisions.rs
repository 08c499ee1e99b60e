//! Carries out the decisions of the decision module, without choices of its own.

use crate::front::{Front, Leg, LegStage, TimerEvent};
use crate::io::Outcome;
use crate::links::{Frame, LegRef, LinkState};
use shalespindle_control::interface::{Decision, EndReason, PoolId, Report, UeId};
use shalespindle_signalling::message::address;

impl Front {
    /// Pulls decisions until there are none.
    pub(crate) fn decide(&mut self, now: f64) {
        while let Some(decision) = self.control.next_decision(now) {
            match decision {
                Decision::SetUp { ue, pool, timeout } => self.start_try(now, ue, pool, timeout),
                Decision::Cancel { ue, setup_try } => self.cancel_try(now, ue, setup_try),
                Decision::Refuse { ue, pause } => {
                    if let Some(&key) = self.attach_by_ue.get(&ue) {
                        self.final_answer(now, key, Outcome::Refused, 503, Some(pause).filter(|p| *p > 0.0));
                    }
                }
                Decision::Abort { ue } => {
                    if let Some(&key) = self.attach_by_ue.get(&ue) {
                        self.final_answer(now, key, Outcome::Failed, 480, None);
                    }
                }
                Decision::Probe { pool } => self.probe(pool),
                Decision::Wake { after } => self.timers.set(now + after, TimerEvent::Control),
            }
        }
    }

    fn start_try(&mut self, now: f64, ue: UeId, pool: PoolId, timeout: f64) {
        let (Some(&key), Some(&link_index)) = (self.attach_by_ue.get(&ue), self.link_by_pool.get(&pool))
        else {
            return;
        };
        let serial = self.new_serial();
        let at = LegRef { key: self.legs.vacant_key(), serial };
        let (to, tag) = (self.links[link_index].address, self.tag.clone());
        let attach = &mut self.attaches[key];
        let setup_try = attach.tries;
        attach.tries += 1;
        attach.leg = Some(at);
        attach.last_server = Some(to);
        // Rule 1, whatever the timeout: no try lasts longer than its caller waits.
        let expires_at = (now + timeout).min(attach.gives_up_at);
        let uri = format!("sip:{}@{to}", attach.called_number).into_boxed_str();
        self.legs.insert(Leg {
            serial,
            stage: LegStage::Queued,
            attach: Some((key, attach.serial)),
            ue,
            link: link_index,
            setup_try,
            sent_at: now,
            expires_at,
            from: format!("<{}>;tag={tag}-{:x}-{serial:x}", address(&attach.remote), at.key).into_boxed_str(),
            to: format!("<{uri}>").into_boxed_str(),
            remote_target: uri.clone(),
            request_uri: uri,
            call_id: None,
        });
        self.links[link_index].legs += 1;
        if let LinkState::Down { retry_at } = self.links[link_index].state {
            // The backoff applies to set-ups, too, or a server that refuses connections would be flooded with
            // them. The set-up was not sent and may go to another server at once.
            if retry_at > now {
                return self.end_try(now, at, EndReason::Unreached, Report::default());
            }
            self.connect(now, link_index);
        }
        if !self.links[link_index].can_queue(self.params.max_queued_frames) {
            return self.end_try(now, at, EndReason::Unreached, Report::default());
        }
        self.timers.set(expires_at, TimerEvent::Leg { key: at.key, serial });
        let bytes = self.write_invite(now, at);
        self.links[link_index].queue.push_back(Frame::Invite(at, bytes));
    }

    fn cancel_try(&mut self, now: f64, ue: UeId, setup_try: u32) {
        let Some(&key) = self.attach_by_ue.get(&ue) else { return };
        let Some(at) = self.attaches[key].leg else { return };
        if self.leg(at).is_some_and(|l| l.setup_try == setup_try) {
            self.attaches[key].leg = None;
            self.abandon_try(now, at, EndReason::Cancelled, false);
        }
    }
}
