//! `resolve`: one DNS look-up with each step printed.

use crate::commands::BAD_INPUT;
use shalespindle_sockets::QuerySockets;
use shalespindle_srv::{Name, Outcome, Resolver, ResolverOutput, ResolverParams, Step};
use shalespindle_transport::resolver_input;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// Looks up a name with the resolver that fronts use, and prints its steps and the resulting addresses.
pub fn resolve(name: &str, servers: &[SocketAddr], within: Duration) -> io::Result<ExitCode> {
    let Ok(mut name) = Name::from_ascii(name) else {
        eprintln!("{name}: not a domain name");
        return Ok(ExitCode::from(BAD_INPUT));
    };
    name.set_fqdn(true);
    let params = ResolverParams {
        upstreams: servers.to_vec(),
        names: vec![name],
        try_timeout: within.as_secs_f64(),
        max_tries: 4,
        lifetime_bounds: (0.0, f64::INFINITY),
        max_negative_lifetime: 0.0,
        refresh_fraction: 0.0,
        retry_pause: (f64::INFINITY, f64::INFINITY),
        start_spread: 0.0,
        udp_size: 1232,
        max_records: 256,
    };
    let start = Instant::now();
    let now = || start.elapsed().as_secs_f64();
    let mut resolver = Resolver::new(params, rand::random(), 0.0);
    let mut queries = QuerySockets::default();
    let (reports_tx, reports_rx) = mpsc::channel();
    resolver.look_up_now(now(), 0);
    loop {
        while let Some(step) = resolver.next_step() {
            println!("{:9.3} ms  {}", now() * 1000.0, describe(&step));
        }
        while let Some(out) = resolver.next_output() {
            match out {
                ResolverOutput::SendQuery { ticket, to: server, tcp, bytes } => {
                    let reports_tx = reports_tx.clone();
                    queries.send(ticket, server, tcp, bytes, within, move |report| {
                        reports_tx.send(report).is_ok()
                    });
                }
                ResolverOutput::CloseSocket { ticket } => queries.close(ticket),
                ResolverOutput::LookupDone { outcome, .. } => return Ok(print_outcome(&outcome)),
            }
        }
        let wait = Duration::from_secs_f64((resolver.next_deadline() - now()).clamp(0.0, 60.0));
        // On a timeout, `tick` below runs the expired timers.
        if let Ok(report) = reports_rx.recv_timeout(wait) {
            resolver.handle(now(), resolver_input(&report));
        }
        resolver.tick(now());
    }
}

fn describe(step: &Step) -> String {
    match step {
        Step::Asked { name, kind, to, tcp } => {
            format!("query to {to} over {} for {name} {kind}", if *tcp { "TCP" } else { "UDP" })
        }
        Step::Answered { code, records, after } => {
            format!("answer {code}, {records} records, after {:.3} ms", after * 1000.0)
        }
        Step::Truncated { by } => format!("{by} truncated its answer, retrying over TCP"),
        Step::Dropped { why } => format!("answer dropped: {why:?}"),
        Step::TryFailed { by, why } => format!("{by}: {why}"),
        Step::Cached { name, kind } => format!("cached: {name} {kind}"),
        Step::Alias { from, to } => format!("{from} is an alias of {to}"),
        Step::AliasLoop { at } => format!("alias loop at {at}"),
        Step::LastKnown { target } => format!("{target}: using the last known addresses"),
        Step::Finished { name, outcome } => format!("{name}: {outcome}"),
    }
}

/// Prints the addresses found, one per line; fails if there are none to print.
fn print_outcome(outcome: &Outcome) -> ExitCode {
    let Outcome::Servers { targets, .. } = outcome else { return ExitCode::FAILURE };
    for target in targets {
        for address in &target.addresses {
            let address = SocketAddr::new(*address, target.port);
            println!("{address} {} priority {} weight {}", target.name, target.priority, target.weight);
        }
    }
    ExitCode::SUCCESS
}
