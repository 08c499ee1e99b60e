//! Each fault says what is wrong and what an operator can do.

use miette::Diagnostic;
use shalespindle_peers::FrontId;
use shalespindle_sites::{SiteSpec, SitesFault, Table};

fn spec(name: &str, fronts: &[u64], pools: &[u16], networks: &[&str]) -> SiteSpec {
    SiteSpec {
        name: name.into(),
        fronts: fronts.iter().map(|f| FrontId(*f)).collect(),
        pools: pools.to_vec(),
        networks: networks.iter().map(|n| n.parse().unwrap()).collect(),
        bears: None,
    }
}

fn fault(sites: &[SiteSpec]) -> SitesFault {
    Table::new(sites.to_vec(), |f| format!("f{}", f.0)).unwrap_err()
}

#[test]
fn no_fault_is_without_a_remedy() {
    let north = || spec("north", &[1, 2], &[0, 1], &["10.1.0.0/16"]);
    let many: Vec<SiteSpec> = (0..65).map(|n| spec(&format!("s{n}"), &[], &[n], &[])).collect();
    let good = Table::new(vec![north()], |_| String::new()).unwrap();
    // The compiler has whoever adds a variant come here.
    let of_kind = |fault: &SitesFault| match fault {
        SitesFault::Unknown { .. } => 0,
        SitesFault::FrontTwice { .. } => 1,
        SitesFault::PoolTwice { .. } => 2,
        SitesFault::NetworksMeet { .. } => 3,
        SitesFault::NameTwice { .. } => 4,
        SitesFault::NoServers { .. } => 5,
        SitesFault::StrangeFront { .. } => 6,
        SitesFault::TooMany { .. } => 7,
        SitesFault::Lasts { .. } => 8,
        SitesFault::CutOff => 9,
        SitesFault::Off => 10,
    };
    let all = [
        good.named("east").unwrap_err(),
        fault(&[north(), spec("south", &[2], &[2], &[])]),
        fault(&[north(), spec("south", &[3], &[1], &[])]),
        fault(&[north(), spec("south", &[3], &[], &["10.1.7.0/24"])]),
        fault(&[north(), spec("north", &[3], &[2], &[])]),
        fault(&[spec("south", &[3], &[], &[])]),
        SitesFault::StrangeFront { front: "f9".into(), site: "north".into() },
        fault(&many),
        SitesFault::Lasts { most: 86_400.0 },
        SitesFault::CutOff,
        SitesFault::Off,
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
    let table = Table::new(sites.clone(), |_| String::new()).unwrap();
    let at = |ip: [u8; 4]| Some(ip.into());
    assert_eq!(table.of_server(7, at([10, 2, 0, 1])), Some(0));
    assert_eq!(table.of_server(8, at([10, 2, 0, 1])), Some(1));
    assert_eq!((table.of_server(8, at([10, 3, 0, 1])), table.of_server(8, None)), (None, None));
    assert_eq!((table.of_front(FrontId(2)), table.of_front(FrontId(9))), (Some(1), None));
    let mut other = sites;
    other[1].pools.push(9);
    assert_ne!(table.digest(), Table::new(other, |_| String::new()).unwrap().digest());
}
