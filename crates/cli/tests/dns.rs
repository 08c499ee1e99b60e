//! DNS look-ups: `resolve` with scripted name servers, and a front that learns its servers from DNS only.

#[path = "common/process.rs"]
#[allow(dead_code)]
mod process;

use process::{wait_for_value, Front};
use shalespindle_srv::Name;
use shalespindle_standin::names::{name_server, HostedNames};
use shalespindle_standin::nameserver::{Entry, NameServer, Script};
use std::net::{IpAddr, SocketAddr};
use std::process::{Command, Output};
use std::sync::{Arc, Mutex};

fn name(text: &str) -> Name {
    Name::from_ascii(text).unwrap()
}

/// Starts a name server with two SRV targets.
fn start_name_server(script: Script) -> (SocketAddr, HostedNames) {
    let mut core = NameServer::new(name("example.org."), 5);
    core.script = script;
    let entry = |n: u16, weight| Entry {
        target: name(&format!("s{n}.example.org.")),
        port: 5070 + n,
        priority: 10,
        weight,
    };
    core.publish(&name("_sip._tcp.auth.example.org."), &[entry(1, 5), entry(2, 9)], 60);
    core.addresses(&name("s1.example.org."), &[IpAddr::from([127, 4, 0, 1])], 60);
    core.addresses(&name("s2.example.org."), &[IpAddr::from([127, 4, 0, 2])], 60);
    let core = Mutex::new(core);
    loop {
        let tcp = may::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let at = tcp.local_addr().unwrap();
        let Ok(udp) = may::net::UdpSocket::bind(at) else { continue };
        let answer = move |question: &[u8], stream: bool| core.lock().unwrap().ask(0.0, question, stream);
        return (at, name_server(udp, tcp, Arc::new(answer)).unwrap());
    }
}

/// Runs `resolve` with these name servers; returns the exit code and the output.
fn resolve(servers: &[SocketAddr]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_shalespindle"));
    command.args(["resolve", "_sip._tcp.auth.example.org", "--within", "300ms"]);
    for server in servers {
        command.args(["--server", &server.to_string()]);
    }
    let Output { status, stdout, .. } = command.output().unwrap();
    (status.code(), String::from_utf8(stdout).unwrap())
}

#[test]
fn resolve_prints_each_step_of_a_lookup() {
    let (plain, _a) = start_name_server(Script::Plain);
    let (code, text) = resolve(&[plain]);
    assert_eq!(code, Some(0), "{text}");
    let found: Vec<&str> = text.lines().rev().take(2).collect();
    assert_eq!(found[1], "127.4.0.2:5072 s2.example.org. priority 10 weight 9");
    assert_eq!(found[0], "127.4.0.1:5071 s1.example.org. priority 10 weight 5");
    assert!(text.contains("over UDP for _sip._tcp.auth.example.org. SRV"), "{text}");

    let (truncates, _b) = start_name_server(Script::Truncates);
    let (code, text) = resolve(&[truncates]);
    assert!(code == Some(0) && text.contains("truncated its answer, retrying over TCP"), "{text}");

    let (refused, _c) = start_name_server(Script::Refused);
    let (code, text) = resolve(&[refused, plain]);
    assert!(code == Some(0) && text.contains("REFUSED"), "{text}");

    let (hangs, _d) = start_name_server(Script::TcpHangs);
    let (code, text) = resolve(&[hangs]);
    assert!(code == Some(1) && text.contains("no answer in time"), "{text}");

    let unanswering = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let (code, text) = resolve(&[unanswering.local_addr().unwrap()]);
    assert!(code == Some(1) && text.ends_with("failed\n"), "{text}");
}

#[test]
fn a_front_restores_dns_members_after_a_restart_with_dns_down() {
    let folder = tempfile::tempdir().unwrap();
    let (at, names) = start_name_server(Script::Plain);
    let path = |file: &str| folder.path().join(file);
    let text = include_str!("../../../deploy/front.toml")
        .replace("127.0.0.1:5060", "127.0.0.1:0")
        .replace("127.0.0.1:7060", "127.0.0.1:1");
    let more = format!(
        "[dns]\nnames = [\"_sip._tcp.auth.example.org\"]\nservers = [\"{at}\"]\nstart_spread = \"0s\"\n\
         targets = [{{ name = \"s1.example.org\", pool = 1 }}]\n\
         [membership]\nfile = {:?}\n[console]\nsocket = {:?}\n",
        path("members"),
        path("front.sock")
    );
    std::fs::write(path("front.toml"), format!("{text}\n{more}")).unwrap();
    let config = path("front.toml");
    let config = config.to_str().unwrap();
    let run = || Front::run(&path("front.toml"), std::fs::File::create(path("front.log")).unwrap());
    let members = || -> serde_json::Value {
        let mut command = Command::new(env!("CARGO_BIN_EXE_shalespindle"));
        let out = command.args(["members", "--config", config, "--json"]).output().unwrap();
        serde_json::from_slice(&out.stdout).unwrap_or_default()
    };
    let field = |members: &serde_json::Value, row: usize, key: &str| members["members"][row][key].clone();
    let front = run();
    let listed =
        wait_for_value("members", members, |m| m["members"].as_array().is_some_and(|all| all.len() == 2));
    assert_eq!((field(&listed, 0, "pool"), field(&listed, 1, "pool")), (1.into(), 1000.into()));
    assert_eq!((field(&listed, 0, "verdict"), field(&listed, 0, "dns")), ("in".into(), "present".into()));
    assert_eq!(field(&listed, 0, "because"), "found by DNS alone: cold until known better");
    wait_for_value(
        "the members to be stored",
        || std::fs::read(path("members")).unwrap_or_default(),
        |bytes| {
            shalespindle_membership::decode_members(u64::MAX / 2, bytes).is_ok_and(|known| known.0.len() == 2)
        },
    );
    drop(front);
    drop(names);
    let front = run();
    let listed =
        wait_for_value("members", members, |m| m["members"].as_array().is_some_and(|all| all.len() == 2));
    assert_eq!((field(&listed, 0, "verdict"), field(&listed, 0, "dns")), ("in".into(), "never heard".into()));
    assert_eq!(field(&listed, 0, "warned"), true);
    drop(front);
    // A damaged file is set aside, and the front starts without it.
    std::fs::write(path("members"), "shalespindle-members 1 00000000\n{}").unwrap();
    let _front = run();
    let none = wait_for_value("members", members, |m| m["members"].is_array());
    assert_eq!(none["members"].as_array().unwrap().len(), 0);
    assert!(path("members.set-aside").exists());
    assert!(std::fs::read_to_string(path("front.log")).unwrap().contains("set aside"));
}
