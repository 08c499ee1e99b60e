//! Each fault says what is wrong and what an operator can do.

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

fn fault(sites: &[SiteSpec]) -> SitesError {
    SiteTable::new(sites.to_vec(), |f| format!("f{}", f.0)).unwrap_err()
}

#[test]
fn no_fault_is_without_a_remedy() {
    let north = || spec("north", &[1, 2], &[0, 1], &["10.1.0.0/16"]);
    let many: Vec<SiteSpec> = (0..65).map(|n| spec(&format!("s{n}"), &[], &[n], &[])).collect();
    let good = SiteTable::new(vec![north()], |_| String::new()).unwrap();
    // The compiler has whoever adds a variant come here.
    let of_kind = |fault: &SitesError| match fault {
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
        fault(&[north(), spec("south", &[2], &[2], &[])]),
        fault(&[north(), spec("south", &[3], &[1], &[])]),
        fault(&[north(), spec("south", &[3], &[], &["10.1.7.0/24"])]),
        fault(&[north(), spec("north", &[3], &[2], &[])]),
        fault(&[spec("south", &[3], &[], &[])]),
        SitesError::UnknownFront { front: "f9".into(), site: "north".into() },
        fault(&many),
        SitesError::InvalidDuration { most: 86_400.0 },
        SitesError::CutOff,
        SitesError::Disabled,
    ];
    for (place, fault) in all.iter().enumerate() {
        assert_eq!(of_kind(fault), place, "{fault:?}");
        let help = fault.help().unwrap_or_else(|| panic!("{fault:?} says nothing to do")).to_string();
        assert!(help.len() > 20 && !fault.to_string().is_empty(), "{fault}: {help}");
    }
    assert!(all[1].to_string().contains("f2") && all[3].to_string().contains("10.1.7.0/24"));
}

#[test]
fn servers_are_found_by_pool_before_network_and_tables_tell_each_other_apart() {
    let sites = vec![spec("north", &[1], &[7], &["10.1.0.0/16"]), spec("south", &[2], &[], &["10.2.0.0/16"])];
    let table = SiteTable::new(sites.clone(), |_| String::new()).unwrap();
    let at = |ip: [u8; 4]| Some(ip.into());
    assert_eq!(table.site_of_server(7, at([10, 2, 0, 1])), Some(0));
    assert_eq!(table.site_of_server(8, at([10, 2, 0, 1])), Some(1));
    assert_eq!((table.site_of_server(8, at([10, 3, 0, 1])), table.site_of_server(8, None)), (None, None));
    assert_eq!((table.site_of_front(FrontId(2)), table.site_of_front(FrontId(9))), (Some(1), None));
    let mut other = sites;
    other[1].pools.push(9);
    assert_ne!(table.digest(), SiteTable::new(other, |_| String::new()).unwrap().digest());
}
