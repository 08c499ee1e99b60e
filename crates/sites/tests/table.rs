//! Errors of the table of sites, each with its advice, and the lookup of sites.

use miette::Diagnostic;
use shalespindle_peers::FrontId;
use shalespindle_sites::{SiteSpec, SiteTable, SitesError};

fn spec(name: &str, fronts: &[u64], pools: &[u16], networks: &[&str]) -> SiteSpec {
    SiteSpec {
        name: name.into(),
        fronts: fronts.iter().map(|f| FrontId(*f)).collect(),
        pools: pools.to_vec(),
        networks: networks.iter().map(|n| n.parse().unwrap()).collect(),
        capacity: None,
    }
}

fn error_of(sites: &[SiteSpec]) -> SitesError {
    SiteTable::new(sites.to_vec(), |f| format!("f{}", f.0)).unwrap_err()
}

#[test]
fn each_error_has_a_message_and_advice() {
    let north = || spec("north", &[1, 2], &[0, 1], &["10.1.0.0/16"]);
    let many: Vec<SiteSpec> = (0..65).map(|n| spec(&format!("s{n}"), &[], &[n], &[])).collect();
    let good = SiteTable::new(vec![north()], |_| String::new()).unwrap();
    // Without a wildcard, a new variant does not compile until it is added here.
    let variant_index = |error: &SitesError| match error {
        SitesError::UnknownSite { .. } => 0,
        SitesError::DuplicateFront { .. } => 1,
        SitesError::DuplicatePool { .. } => 2,
        SitesError::OverlappingNetworks { .. } => 3,
        SitesError::DuplicateName { .. } => 4,
        SitesError::NoServers { .. } => 5,
        SitesError::UnknownFront { .. } => 6,
        SitesError::TooManySites { .. } => 7,
        SitesError::InvalidDuration { .. } => 8,
        SitesError::CutOff => 9,
        SitesError::Disabled => 10,
    };
    let all = [
        good.index_of("east").unwrap_err(),
        error_of(&[north(), spec("south", &[2], &[2], &[])]),
        error_of(&[north(), spec("south", &[3], &[1], &[])]),
        error_of(&[north(), spec("south", &[3], &[], &["10.1.7.0/24"])]),
        error_of(&[north(), spec("north", &[3], &[2], &[])]),
        error_of(&[spec("south", &[3], &[], &[])]),
        SitesError::UnknownFront { front: "f9".into(), site: "north".into() },
        error_of(&many),
        SitesError::InvalidDuration { max: 86_400.0 },
        SitesError::CutOff,
        SitesError::Disabled,
    ];
    for (index, error) in all.iter().enumerate() {
        assert_eq!(variant_index(error), index, "{error:?}");
        let help = error.help().unwrap_or_else(|| panic!("{error:?} has no advice")).to_string();
        assert!(help.len() > 20 && !error.to_string().is_empty(), "{error}: {help}");
    }
    assert!(all[1].to_string().contains("f2") && all[3].to_string().contains("10.1.7.0/24"));
}

#[test]
fn servers_are_found_by_pool_before_network_and_different_tables_have_different_digests() {
    let sites = vec![spec("north", &[1], &[7], &["10.1.0.0/16"]), spec("south", &[2], &[], &["10.2.0.0/16"])];
    let table = SiteTable::new(sites.clone(), |_| String::new()).unwrap();
    let address = |ip: [u8; 4]| Some(ip.into());
    assert_eq!(table.site_of_server(7, address([10, 2, 0, 1])), Some(0));
    assert_eq!(table.site_of_server(8, address([10, 2, 0, 1])), Some(1));
    assert_eq!(
        (table.site_of_server(8, address([10, 3, 0, 1])), table.site_of_server(8, None)),
        (None, None)
    );
    assert_eq!((table.site_of_front(FrontId(2)), table.site_of_front(FrontId(9))), (Some(1), None));
    let mut other = sites;
    other[1].pools.push(9);
    assert_ne!(table.digest(), SiteTable::new(other, |_| String::new()).unwrap().digest());
}
