//! Each bad settings file is named with its line, key and what is allowed.

use shalespindle_front::params::FirstChoice;
use shalespindle_settings::{parse, schema};

const GOOD: &str = include_str!("../../../deploy/front.toml");

#[test]
fn the_shipped_file_is_good() {
    let settings = parse("front.toml", GOOD).unwrap();
    let params = settings.front_params();
    assert_eq!(params.deployment.release_guard, 0.525);
    assert_eq!((params.priorities["wps.0"], params.trunk_groups["wayanad"]), (1, FirstChoice::Pool(1)));
}

#[test]
fn faults_are_named_with_line_and_key() {
    // What is replaced, by what, then the line, the key and a part of the reason.
    let rows: [(&str, &str, usize, &str, &str); 14] = [
        (
            "release_guard = \"500ms\"",
            "release_guard = 500",
            37,
            "rules.release_guard",
            "a duration with its unit",
        ),
        (
            "release_guard = \"500ms\"",
            "release_guard = \"500\"",
            37,
            "rules.release_guard",
            "a duration with its unit",
        ),
        ("drain_grace = \"250ms\"", "drain_grace = \"0s\"", 36, "rules.drain_grace", "longer than 0"),
        ("tries = 4", "tries = 0", 45, "limits.tries", "lower than 1"),
        ("tries = 4", "tries = \"four\"", 45, "limits.tries", "expected u32"),
        ("tries = 4", "tires = 4", 45, "limits.tires", "unknown field"),
        ("start_capacity = 0.29", "start_capacity = 29", 40, "rules.cold.start_capacity", "greater than 1"),
        (
            "latency_target = \"1500ms\"",
            "latency_target = \"10s\"",
            22,
            "procedures[1].t_timer",
            "latency_target",
        ),
        (
            "priorities = [\"wps.1\", \"wps.0\"]",
            "priorities = [\"wps.4\"]",
            20,
            "procedures[1].priorities",
            "already",
        ),
        ("name = \"wayanad\"", "name = \"idukki\"", 32, "trunk_groups[1].name", "is there"),
        ("first_choice = 1", "first_choice = 9", 33, "trunk_groups[1].first_choice", "no procedure"),
        ("late_share = 0.25", "late_share = -1.0", 15, "procedures[0].late_share", "lower than 0"),
        ("listen = \"127.0.0.1:5060\"", "listen = \"localhost\"", 4, "front.listen", "socket address"),
        ("[rules.cold]", "[rules.cold", 39, "", ""),
    ];
    for (from, to, line, key, why) in rows {
        assert!(GOOD.contains(from), "{from}");
        let faults = parse("f.toml", &GOOD.replace(from, to)).unwrap_err();
        let fault = &faults[0];
        assert_eq!((fault.line, fault.key.as_str()), (line, key), "{to}: {fault}");
        assert!(fault.message.contains(why), "{to}: {fault}");
        assert!(fault.to_string().starts_with(&format!("f.toml:{line}: ")));
    }
}

const DNS: &str = r#"
[dns]
names = ["_sip._tcp.auth.example.org"]
servers = ["127.0.0.1:5353"]
targets = [{ name = "S1.auth.example.org.", pool = 1 }]

[membership]
hold = "10s"
"#;

#[test]
fn dns_makes_first_choices_optional_and_its_faults_are_named() {
    let good = format!("{}{DNS}", GOOD.replace("first_choice = 1\n", ""));
    let params = parse("f.toml", &good).unwrap().front_params();
    assert_eq!(params.trunk_groups["wayanad"], FirstChoice::Dns(0));
    let dns = params.dns.unwrap();
    assert_eq!(dns.resolver.names[0].to_string(), "_sip._tcp.auth.example.org.");
    assert_eq!(dns.pools["S1.auth.example.org."], 1);
    let without = parse("f.toml", &GOOD.replace("first_choice = 1\n", "")).unwrap_err();
    assert_eq!(without[0].key, "trunk_groups[1].first_choice");
    for (from, to, key) in [
        ("\"_sip._tcp.auth.example.org\"", "\"a..b\"", "dns.names[0]"),
        ("[\"_sip._tcp.auth.example.org\"]", "[]", "dns.names"),
        ("S1.auth.example.org.", "s1 .\\u0000", "dns.targets[0].name"),
        ("127.0.0.1:5353", "localhost", "dns.servers"),
        ("hold = \"10s\"", "hold = \"0s\"", "membership.hold"),
        ("hold = \"10s\"", "stale_longest = \"1s\"", "membership.stale_longest"),
        ("hold = \"10s\"", "flap_longest = \"1s\"", "membership.flap_longest"),
        ("[dns]", "[dns]\nlifetime_longest = \"1s\"", "dns.lifetime_longest"),
        ("[dns]", "[dns]\nearly = 2.0", "dns.early"),
    ] {
        assert!(good.contains(from), "{from}");
        let faults = parse("f.toml", &good.replace(from, to)).unwrap_err();
        assert!(faults.iter().any(|f| f.key.starts_with(key) && f.line > 40), "{to}: {faults:?}");
    }
}

#[test]
fn all_faults_come_together() {
    let text = GOOD.replace("tries = 4", "tries = 0").replace("utility = 3.0", "utility = -3.0");
    let faults = parse("f.toml", &text).unwrap_err();
    assert_eq!(faults.iter().map(|f| f.line).collect::<Vec<_>>(), [23, 45]);
}

#[test]
fn the_schema_names_every_table() {
    let text = schema().to_string();
    for key in ["front", "pool_list", "procedures", "trunk_groups", "rules", "limits", "links", "log"] {
        assert!(text.contains(&format!("\"{key}\"")), "{key}");
    }
}

/// The shipped settings as one front of three, in two sites.
fn with_sites(sites: &str) -> String {
    let fleet = "[fleet]\nname = \"f0\"\nlisten = \"127.0.0.1:7171\"\nkey_file = \"key\"\n\
                 [[fleet.peers]]\nname = \"f1\"\naddress = \"127.0.0.2:7171\"\n";
    format!("{GOOD}\n{fleet}{sites}")
}

fn site(name: &str, fronts: &str, servers: &str) -> String {
    format!("[[sites]]\nname = \"{name}\"\nfronts = [{fronts}]\n{servers}\n")
}

#[test]
fn sites_are_checked_against_each_other_and_each_fault_says_what_to_do() {
    let north = || site("north", "\"f0\"", "pools = [0]");
    let good =
        with_sites(&(north() + &site("south", "\"f1\"", "networks = [\"10.1.0.0/16\"]\nbears = 40.0")));
    let (_, table) = parse("front.toml", &good).unwrap().sites_params().unwrap();
    assert_eq!((table.len(), table.site_of_server(7, Some([10, 1, 2, 3].into()))), (2, Some(1)));
    assert!(parse("front.toml", GOOD).unwrap().sites_params().is_none());
    let rows = [
        (site("south", "\"f0\"", "pools = [1]"), "sites", "leave it in the `fronts`"),
        (site("south", "\"f1\"", "pools = [0]"), "sites", "leave it in the `pools`"),
        (site("north", "\"f1\"", "pools = [1]"), "sites", "a name of its own"),
        (site("south", "\"f1\"", ""), "sites", "list its servers"),
        (site("south", "\"f9\"", "pools = [1]"), "sites[1].fronts", "[[fleet.peers]]"),
        (site("south", "\"f1\"", "networks = [\"10.1\"]"), "sites[1].networks", "IP"),
        (site("south", "\"f1\"", "pools = [1]\nbears = -1.0"), "sites[1].bears", "lower than"),
        ("[site_plan]\nsteps = [0.5, 0.2, 1.0]\n".into(), "site_plan.steps", "the last all"),
        ("[site_plan]\nreturn_longest = \"10ms\"\n".into(), "site_plan.return_longest", "return_after"),
        ("[site_plan]\nlost_after = \"1h\"\n".into(), "site_plan.lost_after", "fleet.gone_after"),
    ];
    for (more, key, why) in rows {
        let faults = parse("front.toml", &with_sites(&(north() + &more))).unwrap_err();
        let fault =
            faults.iter().find(|f| f.key.starts_with(key)).unwrap_or_else(|| panic!("{more}: {faults:?}"));
        assert!(fault.message.contains(why) && fault.line > 50, "{fault}");
    }
    let alone = parse("front.toml", &format!("{GOOD}\n{}", north())).unwrap_err();
    assert!(alone.iter().any(|f| f.message.contains("[fleet] is needed")), "{alone:?}");
}
