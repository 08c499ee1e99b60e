//! The sites' core in the hands of the fleet's owner: its turns and its log.

use shalespindle_peers::Peers;
use shalespindle_sites::{Output, Sites, Stage};
use tracing::{info, warn};

/// The core, and what bounds its messages.
pub(crate) struct SitesOwner {
    pub core: Sites,
    pub fanout: usize,
    pub bytes: usize,
}

impl SitesOwner {
    pub fn turn(&mut self, now: f64, peers: &Peers) {
        self.core.tick(now, peers, self.fanout, self.bytes);
    }

    pub fn log(&self, out: &Output) {
        match out {
            Output::RecordChanged { site, from, to, missed, outside } => {
                let site = self.core.table().site(*site).name.as_str();
                let (epoch, losses, was) = (to.epoch, to.losses, stage(from.stage));
                let is = stage(to.stage);
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
                "this front hears no more than half of the fleet: it declares nothing and goes by what it sees itself"
            ),
            Output::CutOff(false) => {
                info!(target: "shalespindle::sites", "this front hears more than half of the fleet again")
            }
            Output::Send { .. } | Output::Restrict(_) => {}
        }
    }
}

fn stage(stage: Stage) -> String {
    match stage {
        Stage::Up => "up".into(),
        Stage::Returning { step } => format!("returning, step {step}"),
        Stage::Lost => "lost".into(),
        Stage::KeptOut => "kept out".into(),
    }
}
