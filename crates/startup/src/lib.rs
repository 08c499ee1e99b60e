//! The start-up settings as the operators write them, decoded once into what the decision module needs and
//! what its hosts need beside it: the adapter on the simulator's wire, the live front on sockets.

use serde::Deserialize;
use shalespindle_control::interface::{ColdStart, Deployment, Procedure};

/// The settings as they are written; keys that nobody here reads are passed over.
#[derive(Clone, Debug, Deserialize)]
pub struct StartupSettings {
    classes: Vec<Class>,
    domain: Domain,
    limits: Limits,
    safety: Safety,
    stats: Stats,
}

#[derive(Clone, Debug, Deserialize)]
struct Class {
    #[serde(default)]
    name: String,
    aim_s: f64,
    deadline_s: f64,
    late_share: f64,
    worth: f64,
}

#[derive(Clone, Debug, Deserialize)]
struct Domain {
    class_cells: Vec<Vec<u16>>,
    guard_s: f64,
    tells_wait: bool,
}

#[derive(Clone, Debug, Deserialize)]
struct Limits {
    cancelling: bool,
    dial_timeout_s: f64,
    max_attempts: u32,
    max_retry_after_s: f64,
    most_held: usize,
    probes: bool,
    retry_after: bool,
}

#[derive(Clone, Debug, Deserialize)]
struct Safety {
    start_capacity: f64,
    warm_after_s: f64,
    tip_multiple: f64,
    /// Named by the platform since its first page; where it is not, a second.
    #[serde(default = "one_second")]
    fall_s: f64,
}

fn one_second() -> f64 {
    1.0
}

#[derive(Clone, Debug, Deserialize)]
struct Stats {
    fields: Vec<String>,
}

/// Where the wire puts what the module is told; needed to decode later events.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportLayout {
    pub free_agents_index: Option<usize>,
    pub agents_index: Option<usize>,
    pub wait_index: Option<usize>,
    pub throttled_includes_wait: bool,
}

/// What a host needs to know itself.
#[derive(Clone, Debug, Default)]
pub struct HostParams {
    /// Names of the procedures, in the deployment's order.
    pub procedure_names: Vec<String>,
    /// Attaches that may be in hand at once.
    pub max_pending_attaches: usize,
    /// A connection that is not up within this counts as not made, seconds.
    pub connect_timeout: f64,
}

/// The settings, taken apart by who needs them.
#[derive(Clone, Debug, Default)]
pub struct Startup {
    pub deployment: Deployment,
    pub report_layout: ReportLayout,
    pub host: HostParams,
}

/// From bytes; a fault names its line and column.
pub fn decode(text: &[u8]) -> Result<Startup, String> {
    let settings: StartupSettings =
        serde_json::from_slice(text).map_err(|e| format!("boot: settings: {e}"))?;
    settings.into_startup().map_err(|error| format!("boot: {error}"))
}

impl StartupSettings {
    /// Checks the figures and takes them apart; a fault names its key and what is allowed.
    pub fn into_startup(self) -> Result<Startup, String> {
        self.check()?;
        let fields = &self.stats.fields;
        let report_layout = ReportLayout {
            free_agents_index: fields.iter().position(|f| f == "free"),
            agents_index: fields.iter().position(|f| f == "size"),
            wait_index: fields.iter().position(|f| f == "latency_ms"),
            throttled_includes_wait: self.domain.tells_wait,
        };
        let host = HostParams {
            procedure_names: self.classes.iter().map(|c| c.name.clone()).collect(),
            max_pending_attaches: self.limits.most_held,
            connect_timeout: self.limits.dial_timeout_s,
        };
        let mut class_pools = self.domain.class_cells.into_iter();
        let procedures = self.classes.iter().map(|c| Procedure {
            latency_target: c.aim_s,
            utility: c.worth,
            late_share: c.late_share,
            t_timer: c.deadline_s,
            pools: class_pools.next().unwrap_or_default(),
        });
        let deployment = Deployment {
            procedures: procedures.collect(),
            may_cancel: self.limits.cancelling,
            may_probe: self.limits.probes,
            max_tries: self.limits.max_attempts,
            release_guard: self.domain.guard_s,
            max_pause: if self.limits.retry_after { self.limits.max_retry_after_s } else { 0.0 },
            cold: ColdStart {
                start_capacity: self.safety.start_capacity,
                warm_after: self.safety.warm_after_s,
                overload_multiple: self.safety.tip_multiple,
                overload_window: self.safety.fall_s,
            },
        };
        Ok(Startup { deployment, report_layout, host })
    }

    fn check(&self) -> Result<(), String> {
        if self.classes.is_empty() {
            return Err("settings.classes is empty; at least one class is needed".into());
        }
        for (index, class) in self.classes.iter().enumerate() {
            let key_path = |key: &str| format!("classes[{index}].{key}");
            check_time(&key_path("aim_s"), class.aim_s)?;
            check_time(&key_path("deadline_s"), class.deadline_s)?;
            check_range(&key_path("worth"), class.worth, 0.0, MAX_VALUE)?;
            check_range(&key_path("late_share"), class.late_share, 0.0, 1.0)?;
            let earlier = &self.classes[..index];
            if !class.name.is_empty() && earlier.iter().any(|c| c.name == class.name) {
                return Err(format!(
                    "settings.{} is {:?}, the name of an earlier class; only unique names are allowed",
                    key_path("name"),
                    class.name
                ));
            }
        }
        if self.classes.iter().all(|c| c.worth == 0.0) {
            return Err(
                "settings.classes: worth is 0 in all classes; more than 0 is needed in at least one".into()
            );
        }
        let (cells, classes) = (self.domain.class_cells.len(), self.classes.len());
        if cells < classes {
            return Err(format!(
                "settings.domain.class_cells has {cells} lists; one for each of the {classes} classes is needed"
            ));
        }
        check_time("limits.dial_timeout_s", self.limits.dial_timeout_s)?;
        check_time("safety.warm_after_s", self.safety.warm_after_s)?;
        check_time("safety.fall_s", self.safety.fall_s)?;
        check_range("domain.guard_s", self.domain.guard_s, 0.0, MAX_SECONDS)?;
        check_range("limits.max_retry_after_s", self.limits.max_retry_after_s, 0.0, MAX_SECONDS)?;
        check_range("safety.tip_multiple", self.safety.tip_multiple, 1.0, MAX_VALUE)?;
        if !(self.safety.start_capacity > 0.0 && self.safety.start_capacity <= 1.0) {
            let found = self.safety.start_capacity;
            return Err(format!(
                "settings.safety.start_capacity is {found}; more than 0, up to 1 is allowed"
            ));
        }
        if self.limits.max_attempts == 0 {
            return Err("settings.limits.max_attempts is 0; 1 or more is allowed".into());
        }
        if self.limits.most_held == 0 {
            return Err("settings.limits.most_held is 0; 1 or more is allowed".into());
        }
        Ok(())
    }
}

/// No time of a deployment is longer, seconds: past it hosts could not take it for a time at all.
const MAX_SECONDS: f64 = 86_400.0;
/// No other figure is higher.
const MAX_VALUE: f64 = 1e9;

fn check_time(key: &str, value: f64) -> Result<(), String> {
    match value > 0.0 && value <= MAX_SECONDS {
        true => Ok(()),
        false => Err(format!("settings.{key} is {value}; more than 0, up to {MAX_SECONDS} is allowed")),
    }
}

fn check_range(key: &str, value: f64, min: f64, max: f64) -> Result<(), String> {
    match value >= min && value <= max {
        true => Ok(()),
        false => Err(format!("settings.{key} is {value}; {min} or more, up to {max} is allowed")),
    }
}

#[cfg(test)]
mod tests;
