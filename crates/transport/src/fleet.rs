//! Connects a front to the other fronts of its fleet, and converts its list entries for them.

use crate::owner::OwnerEvent;
use shalespindle_membership::ListEntry;
use shalespindle_peer_service::{FleetCommand, FleetConfig, FleetService, Persistence};
use shalespindle_replica::ServerRecord;
use shalespindle_settings::{read_key_file, FleetSettings};
use shalespindle_sites::{SiteTable, SitesParams};
use shalespindle_sockets::{Mailbox, MonotonicClock};
use std::io;

/// Starts the exchange with the other fronts; what they report is sent to the front's owner.
pub(crate) fn start_fleet(
    settings: &FleetSettings,
    sites: Option<(SitesParams, SiteTable)>,
    seed: u64,
    clock: MonotonicClock,
    owner: Mailbox<OwnerEvent>,
) -> io::Result<FleetService> {
    let persistence = |file: &std::path::PathBuf| Persistence {
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
        persistence: settings.keep_file.as_ref().map(persistence),
        sites,
    };
    // An error means that the owner has ended; the report is dropped.
    FleetService::start(config, clock, move |event| drop(owner.send_unbounded(OwnerEvent::Fleet(event))))
}

/// Converts an entry of this front's list into a report for the other fronts.
pub(crate) fn server_report(now: f64, listed: &ListEntry) -> FleetCommand {
    // A start of 0 means long ago: no age is reported.
    let age = (listed.started > 0.0).then(|| (now - listed.started).max(0.0));
    let ListEntry { address, pool, state, incarnation, .. } = *listed;
    FleetCommand::Server { address, record: ServerRecord { pool, incarnation, reported: state, age } }
}
