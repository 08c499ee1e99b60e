//! A front's place among others, and what its list told in their words.

use crate::owner::Letter;
use shalespindle_membership::ListEntry;
use shalespindle_peer_service::{Fronts, Keep, Saying, Start};
use shalespindle_replica::ServerRecord;
use shalespindle_settings::{read_key_file, FleetSettings};
use shalespindle_sites::{SiteTable, SitesParams};
use shalespindle_sockets::{Mailbox, MonotonicClock};
use std::io;

/// Opens the socket between fronts; what others make known goes to the front's owner.
pub(crate) fn fronts(
    settings: &FleetSettings,
    sites: Option<(SitesParams, SiteTable)>,
    seed: u64,
    ground: MonotonicClock,
    to: Mailbox<Letter>,
) -> io::Result<Fronts> {
    let keep = |file: &std::path::PathBuf| Keep { file: file.clone(), every: settings.keep_every.seconds() };
    let start = Start {
        name: settings.name.clone(),
        listen: settings.listen,
        peers: settings.other_fronts(),
        key: read_key_file(&settings.key_file).map_err(io::Error::other)?,
        params: settings.fleet_params(),
        seed,
        keep: settings.keep_file.as_ref().map(keep),
        sites,
    };
    // An owner that has ended has no use for news.
    Fronts::start(start, ground, move |heard| drop(to.send_unbounded(Letter::Fleet(heard))))
}

/// What this front's list told, for others.
pub(crate) fn saying(now: f64, listed: &ListEntry) -> Saying {
    // 0 means long ago.
    let age = (listed.started > 0.0).then(|| (now - listed.started).max(0.0));
    let ListEntry { address, pool, state: told, incarnation, .. } = *listed;
    Saying::Server { address, word: ServerRecord { pool, incarnation, reported: told, age } }
}
