//! Which front and which server is of which site.

use crate::error::SitesError;
use crate::params::SiteSpec;
use shalespindle_peers::FrontId;
use std::collections::BTreeMap;
use std::net::IpAddr;

/// Sites at most: records on all of them fit into every message.
pub const MAX_SITES: usize = 64;

/// The table of sites, checked.
#[derive(Clone, Debug)]
pub struct SiteTable {
    sites: Vec<SiteSpec>,
    by_front: BTreeMap<FrontId, usize>,
    by_pool: BTreeMap<u16, usize>,
    digest: u64,
}

impl SiteTable {
    /// `name` gives a front its name in faults.
    pub fn new(sites: Vec<SiteSpec>, name: impl Fn(FrontId) -> String) -> Result<SiteTable, SitesError> {
        if sites.len() > MAX_SITES {
            return Err(SitesError::TooManySites { count: sites.len(), most: MAX_SITES });
        }
        let (mut by_front, mut by_pool) = (BTreeMap::new(), BTreeMap::new());
        for (place, site) in sites.iter().enumerate() {
            if sites[..place].iter().any(|other| other.name == site.name) {
                return Err(SitesError::DuplicateName { name: site.name.clone() });
            }
            if site.pools.is_empty() && site.networks.is_empty() {
                return Err(SitesError::NoServers { name: site.name.clone() });
            }
            let names = |first: usize| (sites[first].name.clone(), site.name.clone());
            for front in &site.fronts {
                if let Some(first) = by_front.insert(*front, place) {
                    let (first, second) = names(first);
                    return Err(SitesError::DuplicateFront { front: name(*front), first, second });
                }
            }
            for pool in &site.pools {
                if let Some(first) = by_pool.insert(*pool, place) {
                    let (first, second) = names(first);
                    return Err(SitesError::DuplicatePool { pool: *pool, first, second });
                }
            }
            for (first, other) in sites[..place].iter().enumerate() {
                let overlaps = |a: &&ipnet::IpNet| {
                    other.networks.iter().any(|b| a.contains(&b.network()) || b.contains(&a.network()))
                };
                if let Some(one) = site.networks.iter().find(overlaps) {
                    let both = |b: &&ipnet::IpNet| one.contains(&b.network()) || b.contains(&one.network());
                    let met = other.networks.iter().find(both).map(ToString::to_string);
                    let (first, second) = names(first);
                    let (one, other) = (met.unwrap_or_default(), one.to_string());
                    return Err(SitesError::OverlappingNetworks { one, first, other, second });
                }
            }
        }
        let digest = digest(&sites);
        Ok(SiteTable { sites, by_front, by_pool, digest })
    }

    pub fn len(&self) -> usize {
        self.sites.len()
    }

    pub fn is_empty(&self) -> bool {
        self.sites.is_empty()
    }

    pub fn site(&self, place: usize) -> &SiteSpec {
        &self.sites[place]
    }

    pub fn sites(&self) -> &[SiteSpec] {
        &self.sites
    }

    pub fn index_of(&self, name: &str) -> Result<usize, SitesError> {
        let known = || self.sites.iter().map(|s| s.name.as_str()).collect::<Vec<_>>().join(", ");
        let place = self.sites.iter().position(|s| s.name == name);
        place.ok_or_else(|| SitesError::UnknownSite { name: name.into(), known: known() })
    }

    /// Where a front stands; none: in no site.
    pub fn site_of_front(&self, front: FrontId) -> Option<usize> {
        self.by_front.get(&front).copied()
    }

    /// Where a server stands; none: in no site, so that it is never narrowed.
    pub fn site_of_server(&self, pool: u16, address: Option<IpAddr>) -> Option<usize> {
        let by_network = || {
            let address = address?;
            self.sites.iter().position(|s| s.networks.iter().any(|n| n.contains(&address)))
        };
        self.by_pool.get(&pool).copied().or_else(by_network)
    }

    /// Equal on fronts whose settings name the same sites: what others say by place means the same here.
    pub fn digest(&self) -> u64 {
        self.digest
    }
}

fn digest(sites: &[SiteSpec]) -> u64 {
    // FNV-1a: stable over builds, which the standard library's hasher is not.
    let mut digest = 0xcbf2_9ce4_8422_2325u64;
    let mut add = |bytes: &[u8]| {
        for byte in bytes.iter().chain(&[0xff]) {
            digest = (digest ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    };
    for site in sites {
        add(site.name.as_bytes());
        site.fronts.iter().for_each(|f| add(&f.0.to_le_bytes()));
        site.pools.iter().for_each(|p| add(&p.to_le_bytes()));
        site.networks.iter().for_each(|n| add(n.to_string().as_bytes()));
    }
    digest
}
