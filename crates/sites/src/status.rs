//! How the sites stand, for operators.

use crate::sites::Sites;
use crate::word::Stage;
use serde::{Deserialize, Serialize};
use shalespindle_peers::{FrontId, Peers, State};

/// A site's state as this front judges it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    Up,
    /// Some fronts outside it miss it, not most.
    Doubtful,
    /// This front hears too few others to judge by.
    CutOff,
    Lost,
    KeptOut,
    Returning,
}

impl Verdict {
    pub fn name(self) -> &'static str {
        match self {
            Verdict::Up => "up",
            Verdict::Doubtful => "doubtful",
            Verdict::CutOff => "cut off",
            Verdict::Lost => "lost",
            Verdict::KeptOut => "kept out",
            Verdict::Returning => "returning",
        }
    }
}

/// One site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SiteStatus {
    pub name: String,
    pub verdict: Verdict,
    pub epoch: u64,
    pub stage: Stage,
    /// Seconds since that word was written.
    pub since: f64,
    /// Seconds for which an operator holds it.
    pub held_for: Option<f64>,
    pub losses: u8,
    /// Its fronts on the list, and those that are heard.
    pub fronts: usize,
    pub fronts_heard: usize,
    /// Fronts outside it, those that miss its servers, those that reach some.
    pub outside: usize,
    pub missed: usize,
    pub reached: usize,
    /// Set-ups a second that stand there, and that it is believed to bear.
    pub stood: f64,
    pub bears: Option<f64>,
    pub busy: bool,
    /// Its servers are not used by this front now.
    pub out_here: bool,
    /// Were it lost now: set-ups a second that would be needed and borne by the others.
    pub if_lost_needs: f64,
    pub if_lost_bears: Option<f64>,
}

/// All sites.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SitesStatus {
    pub sites: Vec<SiteStatus>,
    pub cut_off: bool,
    /// Fronts whose sights count, of all on the list.
    pub sights: usize,
    pub fleet: usize,
    /// Shares of what is asked that are taken now, by procedure; empty: all.
    pub shares: Vec<f64>,
    /// Messages of another table of sites, and those of bad form.
    pub other_tables: u64,
    pub bad: u64,
}

impl Sites {
    pub fn status(&self, now: f64, peers: &Peers) -> SitesStatus {
        let fleet: Vec<FrontId> = peers.all_fronts().collect();
        let demand = self.demand(now, peers, &fleet);
        let needs: f64 = demand
            .whole(self.params.classes.len())
            .iter()
            .zip(&self.params.classes)
            .map(|(d, c)| d * c.work)
            .sum();
        let one = |site: usize| {
            let (spec, word, held) = (self.table.site(site), self.words[site], self.held[site]);
            let votes = self.votes(now, site, peers, &fleet);
            let alive = |f: &&FrontId| **f == self.own || peers.state(**f) == Some(State::Alive);
            let verdict = match word.stage {
                Stage::KeptOut => Verdict::KeptOut,
                _ if self.cut_off.is_some() => Verdict::CutOff,
                Stage::Lost => Verdict::Lost,
                Stage::Returning { .. } => Verdict::Returning,
                Stage::Up if votes.is_doubtful() => Verdict::Doubtful,
                Stage::Up => Verdict::Up,
            };
            SiteStatus {
                name: spec.name.clone(),
                verdict,
                epoch: word.epoch,
                stage: word.stage,
                since: now - word.since,
                held_for: word.held_until.map(|until| until - now).filter(|left| *left > 0.0),
                losses: word.losses,
                fronts: spec.fronts.len(),
                fronts_heard: spec.fronts.iter().filter(alive).count(),
                outside: votes.outside,
                missed: votes.missed,
                reached: votes.reached,
                stood: held.stood,
                bears: held.bears,
                busy: held.busy,
                out_here: self.narrowing().out.iter().any(|(s, _)| *s == site),
                if_lost_needs: needs,
                if_lost_bears: self.bears(&fleet, |s| s == site),
            }
        };
        SitesStatus {
            sites: (0..self.table.len()).map(one).collect(),
            cut_off: self.cut_off.is_some(),
            sights: demand.known.len(),
            fleet: fleet.len(),
            shares: if self.parts.refuses() { self.parts.shares.clone() } else { Vec::new() },
            other_tables: self.other_tables,
            bad: self.bad,
        }
    }
}
