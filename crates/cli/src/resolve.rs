//! One look-up, step by step.

use crate::commands::BAD_INPUT;
use shalespindle_sockets::QuerySockets;
use shalespindle_srv::{Name, Outcome, Resolver, ResolverOutput, ResolverParams, Step};
use shalespindle_transport::resolver_input;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// Looks a name up with the resolver that fronts use and prints what it does.
pub fn resolve(name: &str, servers: &[SocketAddr], within: Duration) -> io::Result<ExitCode> {
    let Ok(mut name) = Name::from_ascii(name) else {
        eprintln!("{name}: no domain name");
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
    let begin = Instant::now();
    let now = || begin.elapsed().as_secs_f64();
    let mut resolver = Resolver::new(params, rand::random(), 0.0);
    let mut questions = QuerySockets::default();
    let (to, from) = mpsc::channel();
    resolver.look_up_now(now(), 0);
    loop {
        while let Some(step) = resolver.next_step() {
            println!("{:9.3} ms  {}", now() * 1000.0, words(&step));
        }
        while let Some(out) = resolver.next_output() {
            match out {
                ResolverOutput::SendQuery { ticket, to: server, tcp, bytes } => {
                    let to = to.clone();
                    questions.send(ticket, server, tcp, bytes, within, move |report| to.send(report).is_ok());
                }
                ResolverOutput::CloseSocket { ticket } => questions.close(ticket),
                ResolverOutput::LookupDone { outcome, .. } => return Ok(told(&outcome)),
            }
        }
        let wait = Duration::from_secs_f64((resolver.next_deadline() - now()).clamp(0.0, 60.0));
        // Nothing came: what is due is done below.
        if let Ok(report) = from.recv_timeout(wait) {
            resolver.handle(now(), resolver_input(&report));
        }
        resolver.tick(now());
    }
}

fn words(step: &Step) -> String {
    match step {
        Step::Asked { name, kind, to, tcp } => {
            format!("asked {to} over {} for {name} {kind}", if *tcp { "TCP" } else { "UDP" })
        }
        Step::Answered { code, records, after } => {
            format!("answered {code}, {records} records, after {:.3} ms", after * 1000.0)
        }
        Step::Truncated { by } => format!("{by} cut its answer short: TCP"),
        Step::Dropped { why } => format!("dropped an answer: {why:?}"),
        Step::TryFailed { by, why } => format!("{by}: {why}"),
        Step::Cached { name, kind } => format!("known still: {name} {kind}"),
        Step::Alias { from, to } => format!("{from} is {to}"),
        Step::AliasLoop { at } => format!("aliases come back to {at}"),
        Step::LastKnown { target } => format!("{target}: last known addresses"),
        Step::Finished { name, outcome } => format!("{name}: {outcome}"),
    }
}

fn told(outcome: &Outcome) -> ExitCode {
    let Outcome::Servers { targets, .. } = outcome else { return ExitCode::FAILURE };
    for t in targets {
        for address in &t.addresses {
            let at = SocketAddr::new(*address, t.port);
            println!("{at} {} priority {} weight {}", t.name, t.priority, t.weight);
        }
    }
    ExitCode::SUCCESS
}
