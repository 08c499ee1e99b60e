//! How a coordinator stands, for an operator.

use crate::configuration::{Acknowledgement, ConfigurationVersion, VersionId};
use crate::coordinator::{Coordinator, Counts};
use crate::statement::{Key, MemberState, NodeId, Value};

/// How far a front has followed the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FrontProgress {
    /// The front.
    pub front: NodeId,
    /// The version that it acts on.
    pub acts_on: VersionId,
    /// Why it refused a newer one.
    pub refused: Option<String>,
}

/// What a coordinator knows, and how it stands with the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoordinatorStatus {
    /// Clients with a session here, other coordinators among them.
    pub sessions: usize,
    /// Statements and remembered deletions held.
    pub statements: usize,
    /// More than half of its clients are quiet: it suspects nobody.
    pub is_isolated: bool,
    /// Members by state: alive, suspected, left.
    pub members: [usize; 3],
    /// The configuration version in force.
    pub in_force: Option<ConfigurationVersion>,
    /// Fronts that have not said to act on it.
    pub behind: Vec<FrontProgress>,
    /// Versions that were announced elsewhere without knowledge of the one in force, and lost to it.
    pub lost: Vec<ConfigurationVersion>,
    /// Other coordinators that it has never been level with, or not for so long that it suspects them.
    pub unreachable: Vec<NodeId>,
    /// See [`Counts`].
    pub counts: Counts,
}

impl Coordinator {
    /// How it stands.
    pub fn status(&self, now: f64) -> CoordinatorStatus {
        let in_force = self.store.in_force();
        let count = |wanted: MemberState| {
            let members = self.store.live().filter_map(|(_, key, value)| match (key, value) {
                (Key::Member, Value::Member(state)) => Some(*state),
                _ => None,
            });
            members.filter(|state| *state == wanted).count()
        };
        let is_unreachable =
            |level_at: Option<f64>| level_at.is_none_or(|at| now - at >= self.params.suspect_after);
        let unreachable = self.followed.iter().filter(|(_, follower)| is_unreachable(follower.level_at));
        CoordinatorStatus {
            sessions: self.sessions.len(),
            statements: self.store.len(),
            is_isolated: self.is_isolated,
            members: [MemberState::Alive, MemberState::Suspected, MemberState::Left].map(count),
            in_force,
            behind: self.behind(in_force.map(|version| version.id).unwrap_or_default()),
            lost: self.store.lost(),
            unreachable: unreachable.map(|(peer, _)| *peer).collect(),
            counts: self.counts,
        }
    }

    fn behind(&self, in_force: VersionId) -> Vec<FrontProgress> {
        let acknowledged = self.store.live().filter_map(|(front, _, value)| match value {
            Value::Acknowledgement(acknowledgement) => Some((front, acknowledgement)),
            _ => None,
        });
        let behind = acknowledged.filter(|(_, acknowledgement)| acknowledgement.acts_on() != in_force);
        let progress = |(front, acknowledgement): (NodeId, &Acknowledgement)| FrontProgress {
            front,
            acts_on: acknowledgement.acts_on(),
            refused: match acknowledgement {
                Acknowledgement::ActsOn(_) => None,
                Acknowledgement::Refused { reason, .. } => Some(reason.clone()),
            },
        };
        behind.map(progress).collect()
    }
}
