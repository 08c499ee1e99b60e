//! A front's place among others, and what its list told in their words.

use crate::owner::Letter;
use shalespindle_membership::ListEntry;
use shalespindle_peer_service::{FleetCommand, FleetConfig, FleetService, Persistence};
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
) -> io::Result<FleetService> {
    let keep = |file: &std::path::PathBuf| Persistence {
        file: file.clone(),
        interval: settings.keep_every.seconds(),
    };
    let config = FleetConfig {
        name: settings.name.clone(),
        listen: settings.listen,
        peers: settings.other_fronts(),
        key: read_key_file(&settings.key_file).map_err(io::Error::other)?,
        params: settings.fleet_params(),
        seed,
        persistence: settings.keep_file.as_ref().map(keep),
        sites,
    };
    // An owner that has ended has no use for news.
    FleetService::start(config, ground, move |heard| drop(to.send_unbounded(Letter::Fleet(heard))))
}

/// What this front's list told, for others.
pub(crate) fn saying(now: f64, listed: &ListEntry) -> FleetCommand {
    // 0 means long ago.
    let age = (listed.started > 0.0).then(|| (now - listed.started).max(0.0));
    let ListEntry { address, pool, state: told, incarnation, .. } = *listed;
    FleetCommand::Server { address, record: ServerRecord { pool, incarnation, reported: told, age } }
}
