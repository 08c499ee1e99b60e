//! Settings: TOML with units into checked types, their schema, and what a front is started with. A bad
//! value is named with file, line, key and what is allowed, and nothing starts.

mod fleet;
mod model;
mod place;
mod sites;
mod sources;
mod span;

pub use fleet::{read_key, FleetSettings, PeerSettings};
pub use model::*;
pub use sites::{SitePlanSettings, SiteSettings};
pub use sources::{DnsSettings, DnsTarget, MembershipSettings};
pub use span::Span;

use garde::Validate;
use std::fmt;
use std::path::Path;

/// One thing wrong with a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub file: String,
    pub line: usize,
    /// The key as a path, such as `rules.cold.start_capacity`; empty where the text itself is malformed.
    pub key: String,
    /// What is wrong and what is allowed.
    pub why: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.why)
    }
}

/// Reads and checks a settings file; all faults that can be told apart are returned together.
pub fn read(path: &Path) -> Result<Settings, Vec<Fault>> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => parse(&file, &text),
        Err(why) => Err(vec![Fault { file, line: 0, key: String::new(), why: why.to_string() }]),
    }
}

/// Checks the text of a settings file; `file` is only named in faults.
pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<Fault>> {
    let fault = |line, key: String, why: String| Fault { file: file.into(), line, key, why };
    let settings: Settings = toml::from_str(text).map_err(|e| {
        let at = e.span().map_or(0, |s| s.start);
        vec![fault(place::line(text, at), place::key_at(text, at), e.message().to_string())]
    })?;
    let mut faults = Vec::new();
    if let Err(report) = settings.validate() {
        for (path, error) in report.iter() {
            let key = path.to_string();
            faults.push(fault(place::line_of(text, &key), key, error.message().to_string()));
        }
    }
    for (key, why) in settings.cross_checks() {
        faults.push(fault(place::line_of(text, &key), key, why));
    }
    if faults.is_empty() {
        Ok(settings)
    } else {
        faults.sort_by(|a, b| (a.line, &a.key).cmp(&(b.line, &b.key)));
        Err(faults)
    }
}

/// The JSON schema of a settings file.
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(Settings).to_value()
}
