//! Runs the state machine of the sites on the thread that owns the fleet, and writes its log lines.

use shalespindle_peers::Peers;
use shalespindle_sites::{Output, Sites, Stage};
use tracing::{info, warn};

/// The state machine of the sites and the limits of its messages.
pub(crate) struct SitesDriver {
    pub core: Sites,
    /// Number of peers that a message goes to on each tick.
    pub fanout: usize,
    /// Maximum size of a message, bytes.
    pub max_message_bytes: usize,
}

impl SitesDriver {
    pub fn tick(&mut self, now: f64, peers: &Peers) {
        self.core.tick(now, peers, self.fanout, self.max_message_bytes);
    }

    pub fn log(&self, out: &Output) {
        match out {
            Output::RecordChanged { site, from, to, missed, outside } => {
                let site = self.core.table().site(*site).name.as_str();
                let (epoch, losses, was) = (to.epoch, to.losses, describe(from.stage));
                let is = describe(to.stage);
                match to.stage {
                    Stage::Lost | Stage::KeptOut => warn!(
                        target: "shalespindle::sites", site, epoch, was, is, losses, missed, outside, "site"
                    ),
                    Stage::Up | Stage::Returning { .. } => {
                        info!(target: "shalespindle::sites", site, epoch, was, is, losses, "site")
                    }
                }
            }
            Output::CutOff(true) => warn!(
                target: "shalespindle::sites",
                "at most half of the fleet is received: no site is declared lost, acting on its own view"
            ),
            Output::CutOff(false) => {
                info!(
                    target: "shalespindle::sites",
                    "this front receives from more than half of the fleet again"
                )
            }
            Output::Send { .. } | Output::Restrict(_) => {}
        }
    }
}

fn describe(stage: Stage) -> String {
    match stage {
        Stage::Up => "up".into(),
        Stage::Returning { step } => format!("returning, step {step}"),
        Stage::Lost => "lost".into(),
        Stage::KeptOut => "kept out".into(),
    }
}
