//! Carries out what the decision module decides. Nothing here chooses.

use crate::front::{Due, Front, Leg, LegStage};
use crate::io::Outcome;
use crate::links::{Frame, LegRef, LinkState};
use shalespindle_control::interface::{Decision, EndReason, PoolId, Report, UeId};
use shalespindle_signalling::message::address;

impl Front {
    /// Pulls decisions until there are none.
    pub(crate) fn decide(&mut self, now: f64) {
        while let Some(decision) = self.control.next_decision(now) {
            match decision {
                Decision::SetUp { ue, pool, timeout } => self.set_up(now, ue, pool, timeout),
                Decision::Cancel { ue, setup_try } => self.cancel_try(now, ue, setup_try),
                Decision::Refuse { ue, pause } => {
                    if let Some(&key) = self.by_ue.get(&ue) {
                        self.final_answer(now, key, Outcome::Refused, 503, Some(pause).filter(|p| *p > 0.0));
                    }
                }
                Decision::Abort { ue } => {
                    if let Some(&key) = self.by_ue.get(&ue) {
                        self.final_answer(now, key, Outcome::Failed, 480, None);
                    }
                }
                Decision::Probe { pool } => self.probe(pool),
                Decision::Wake { after } => self.timers.set(now + after, Due::Control),
            }
        }
    }

    fn set_up(&mut self, now: f64, ue: UeId, pool: PoolId, timeout: f64) {
        let (Some(&key), Some(&place)) = (self.by_ue.get(&ue), self.by_pool.get(&pool)) else { return };
        let serial = self.serial();
        let at = LegRef { key: self.legs.vacant_key(), serial };
        let (to, tag) = (self.links[place].address, self.tag.clone());
        let attach = &mut self.attaches[key];
        let setup_try = attach.tries;
        attach.tries += 1;
        attach.leg = Some(at);
        attach.last_server = Some(to);
        // Guards rule 1 whatever the time-out: no try outlives what its caller waits.
        let due = (now + timeout).min(attach.gives_up_at);
        let uri = format!("sip:{}@{to}", attach.number).into_boxed_str();
        self.legs.insert(Leg {
            serial,
            stage: LegStage::Queued,
            attach: Some((key, attach.serial)),
            ue,
            link: place,
            setup_try,
            sent_at: now,
            due,
            from: format!("<{}>;tag={tag}-{:x}-{serial:x}", address(&attach.caller), at.key).into_boxed_str(),
            to: format!("<{uri}>").into_boxed_str(),
            target: uri.clone(),
            uri,
            call_id: None,
        });
        self.links[place].legs += 1;
        if let LinkState::Down { retry_at } = self.links[place].state {
            // Guards against a storm of connections to a server that refuses them: the back-off holds for
            // set-ups too, which have not been sent and may go elsewhere at once.
            if retry_at > now {
                return self.try_over(now, at, EndReason::Unreached, Report::default());
            }
            self.connect(now, place);
        }
        if !self.links[place].takes(self.params.max_queued_frames) {
            return self.try_over(now, at, EndReason::Unreached, Report::default());
        }
        self.timers.set(due, Due::Leg { key: at.key, serial });
        let bytes = self.write_invite(now, at);
        self.links[place].queue.push_back(Frame::SetUp(at, bytes));
    }

    fn cancel_try(&mut self, now: f64, ue: UeId, setup_try: u32) {
        let Some(&key) = self.by_ue.get(&ue) else { return };
        let Some(at) = self.attaches[key].leg else { return };
        if self.leg(at).is_some_and(|l| l.setup_try == setup_try) {
            self.attaches[key].leg = None;
            self.give_up_leg(now, at, EndReason::Cancelled, false);
        }
    }
}
