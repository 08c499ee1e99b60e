//! Decodes the operators' start-up settings (JSON) into the parameters of the decision module and those of
//! its hosts. Hosts are the adapter on the bench's wire and the live front on sockets.

use serde::Deserialize;
use shalespindle_control::interface::{ColdStart, Deployment, Procedure};

/// The settings as written. Field names are the JSON keys; unknown keys are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct StartupSettings {
    classes: Vec<Class>,
    domain: Domain,
    limits: Limits,
    safety: Safety,
    stats: Stats,
}

/// One procedure.
#[derive(Clone, Debug, Deserialize)]
struct Class {
    #[serde(default)]
    name: String,
    /// Latency target, seconds.
    aim_s: f64,
    /// T-timer, seconds.
    deadline_s: f64,
    /// Fraction of the utility that is earned after the latency target.
    late_share: f64,
    /// Utility.
    worth: f64,
}

/// The network of servers.
#[derive(Clone, Debug, Deserialize)]
struct Domain {
    /// For each class, the numbers of the pools that can serve it.
    class_cells: Vec<Vec<u16>>,
    /// Release guard, seconds.
    guard_s: f64,
    /// Whether a throttled set-up names the processor's wait.
    tells_wait: bool,
}

/// What a front may do, and how much of it.
#[derive(Clone, Debug, Deserialize)]
struct Limits {
    /// Whether setup tries may be cancelled.
    cancelling: bool,
    dial_timeout_s: f64,
    /// Maximum number of setup tries of one attach.
    max_attempts: u32,
    max_retry_after_s: f64,
    /// Maximum number of pending attaches.
    most_held: usize,
    /// Whether pools may be probed.
    probes: bool,
    /// Whether a refused caller may be advised to wait.
    retry_after: bool,
}

/// Capacity of processors after a start; see [`ColdStart`].
#[derive(Clone, Debug, Deserialize)]
struct Safety {
    start_capacity: f64,
    warm_after_s: f64,
    /// Overload multiple.
    tip_multiple: f64,
    /// Overload window, seconds. Every platform has sent it from the start; one second where it is absent.
    #[serde(default = "one_second")]
    fall_s: f64,
}

fn one_second() -> f64 {
    1.0
}

/// Statistics that processors report.
#[derive(Clone, Debug, Deserialize)]
struct Stats {
    /// Names in the order in which the values are sent.
    fields: Vec<String>,
}

/// Position of each value in the reported statistics; needed to decode later events.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportLayout {
    pub free_agents_index: Option<usize>,
    pub agents_index: Option<usize>,
    pub wait_index: Option<usize>,
    /// Whether a throttled set-up names the processor's wait.
    pub throttled_includes_wait: bool,
}

/// Parameters of the host itself.
#[derive(Clone, Debug, Default)]
pub struct HostParams {
    /// Names of the procedures, in the deployment's order.
    pub procedure_names: Vec<String>,
    /// Maximum number of attaches pending at the same time.
    pub max_pending_attaches: usize,
    /// A connection attempt fails after this time, seconds.
    pub connect_timeout: f64,
}

/// The settings, divided by the component that uses them.
#[derive(Clone, Debug, Default)]
pub struct Startup {
    pub deployment: Deployment,
    pub report_layout: ReportLayout,
    pub host: HostParams,
}

/// Decodes the JSON text; a syntax error names its line and column.
pub fn decode(text: &[u8]) -> Result<Startup, String> {
    let settings: StartupSettings =
        serde_json::from_slice(text).map_err(|e| format!("boot: settings: {e}"))?;
    settings.into_startup().map_err(|error| format!("boot: {error}"))
}

impl StartupSettings {
    /// Checks the values and divides them; an error names the key and the allowed range.
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

    /// Checks that every value is within its range and that the lists agree.
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
                "settings.domain.class_cells has {cells} lists; one is needed for each of {classes} classes"
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

/// Longest time that a setting may have, seconds; hosts cannot represent arbitrarily long times.
const MAX_SECONDS: f64 = 86_400.0;
/// Highest value of any other number.
const MAX_VALUE: f64 = 1e9;

/// Checks a time in seconds.
fn check_time(key: &str, value: f64) -> Result<(), String> {
    match value > 0.0 && value <= MAX_SECONDS {
        true => Ok(()),
        false => Err(format!("settings.{key} is {value}; more than 0, up to {MAX_SECONDS} is allowed")),
    }
}

/// Checks a number against its range.
fn check_range(key: &str, value: f64, min: f64, max: f64) -> Result<(), String> {
    match value >= min && value <= max {
        true => Ok(()),
        false => Err(format!("settings.{key} is {value}; {min} or more, up to {max} is allowed")),
    }
}

#[cfg(test)]
mod tests;
