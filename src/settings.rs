//! Parses the settings object that a deployment gives to every proxy, for the proxy and for the simulator's adapter.
//!
//! The module owns the keys and units of that object. It converts the object into the decision module's [`Settings`] and
//! into [`ProgramSettings`], the part that only the programs need. It takes text and returns values. It must not read
//! files or the environment, nor make decisions.

use crate::api::{
    Access, Class, DedupScope, Idempotency, LagCheck, Limits, ListMode, ListRole, Safety, SessionTokens,
    Settings,
};
use serde::Deserialize;
use std::fmt;

/// What is wrong with a settings object; the text names the key.
#[derive(Debug)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

type Result<T> = std::result::Result<T, SettingsError>;

/// The settings object. Its fields have the names of the keys.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Conf {
    /// Number of proxies; a whole number.
    balancers: f64,
    /// This proxy's number among them, from 0.
    ordinal: u32,
    /// Index of this proxy's zone in `azs`.
    zone: u8,
    classes: Vec<ClassConf>,
    /// How the list of hosts arrives: `pushed` or `on_request`.
    membership_mode: String,
    family_info: Family,
    ceilings: Ceilings,
    safety: SafetyConf,
    load_info: LoadInfo,
    #[serde(default)]
    fees: Fees,
    /// Names of the zones.
    #[serde(default)]
    azs: Vec<String>,
    /// Names of the machine types.
    #[serde(default)]
    host_types: Vec<String>,
    #[serde(default)]
    tenants: Vec<TenantConf>,
    /// The worth of a request over its tenant's quota, as a share of its class's worth.
    #[serde(default = "default_over_share_worth")]
    over_share_worth: f64,
}

/// A tenant and its quota over all proxies together, in requests per second.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct TenantConf {
    name: String,
    quota_rps: f64,
}

fn default_over_share_worth() -> f64 {
    1.0
}

/// The price of an attempt in another zone; any price over 0 counts the same.
#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Fees {
    #[serde(default)]
    cross_zone: f64,
}

/// A class of requests; [`Class`] describes the values.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ClassConf {
    #[serde(default)]
    name: String,
    /// Whether a second run does harm: `retryable`, `fragile` or `dedup`.
    effect: String,
    /// For `dedup`, which hosts drop a repeated request: `all`, `zone` or `cell`.
    #[serde(default)]
    dedup_scope: String,
    #[serde(default)]
    dedup_window_us: f64,
    slo_us: f64,
    deadline_us: f64,
    worth: f64,
    #[serde(default)]
    late_worth: f64,
    #[serde(default)]
    aim_stretch: f64,
}

/// The properties of the kind of database.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Family {
    /// What a replica does with a read for which it lags too far: `silent`, `bounce` or `await`.
    behind: String,
    /// How long it waits under `await`.
    #[serde(default)]
    catch_up_wait_us: f64,
    /// For each class, how recent the data must be: `eventual`, `lag_bound`, `causal`, `strong`, or `mutate` for writes.
    class_read: Vec<String>,
    /// For each class, the oldest data allowed under `lag_bound`.
    staleness_bound_us: Vec<f64>,
    /// Whether each answer carries the host's position.
    positions: bool,
    /// How the list of hosts states roles: `trailing`, `static` or `silent`.
    role_in_list: String,
    /// How a session's last write is known: `brought` by the client or `kept` by the proxy.
    write_marks: String,
    /// The clock time from which positions are measured.
    zero_us: u64,
}

/// What the deployment permits; [`Limits`] describes the values.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Ceilings {
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    may_probe: bool,
    #[serde(default)]
    peer_messages: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_us: f64,
    #[serde(default)]
    second_copies: bool,
    most_tries: u32,
    #[serde(default = "default_dial_timeout_us")]
    dial_timeout_us: f64,
    #[serde(default = "default_keepalive_us")]
    keepalive_us: f64,
}

fn default_dial_timeout_us() -> f64 {
    250_000.0
}

fn default_keepalive_us() -> f64 {
    30_000_000.0
}

/// The parameters of the safety rules; [`Safety`] describes the values.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct SafetyConf {
    drain_grace_us: f64,
    #[serde(default)]
    drain_binds_alone: bool,
    start_capacity: f64,
    cold_us: f64,
    tip_multiple: f64,
    overload_for_us: f64,
    ask_within_us: f64,
}

/// The names of the values in a host's report, in the order of the wire.
#[derive(Deserialize)]
struct LoadInfo {
    #[serde(default)]
    fields: Vec<String>,
}

/// The settings that the programs need and the decision module does not: names, and how to speak with hosts.
#[derive(Clone, Debug)]
pub struct ProgramSettings {
    /// The clock time from which positions are measured, in microseconds.
    pub zero_us: u64,
    /// Index of the position in `report_fields`.
    pub position_index: Option<usize>,
    /// Index of the role in `report_fields`.
    pub role_index: Option<usize>,
    /// Index of the number of requests in flight in `report_fields`.
    pub in_flight_index: Option<usize>,
    /// Names of the values in a host's report, in the order of the wire.
    pub report_fields: Vec<String>,
    /// Names of the classes, by the index in [`Settings::classes`].
    pub class_names: Vec<String>,
    /// Names of the tenants, by the index in [`Settings::quotas`].
    pub tenant_names: Vec<String>,
    /// Names of the zones, by index.
    pub zone_names: Vec<String>,
    /// Names of the machine types, by index.
    pub host_type_names: Vec<String>,
    /// Timeout for opening a connection to a host, in microseconds.
    pub dial_timeout_us: u64,
    /// How long a connection may be idle before the host closes it, in microseconds.
    pub keepalive_us: u64,
}

fn unknown_value<T>(key: &str, value: &str) -> Result<T> {
    Err(SettingsError(format!("settings: {key} has the unknown value {value:?}")))
}

/// Parses the text of a settings object.
pub fn parse(text: &[u8]) -> Result<(Settings, ProgramSettings)> {
    let text = std::str::from_utf8(text)
        .map_err(|e| SettingsError(format!("settings: not UTF-8 at byte {}", e.valid_up_to())))?;
    let conf: Conf = serde_json::from_str(text).map_err(|e| SettingsError(format!("settings: {e}")))?;
    if conf.balancers < 0.0 || conf.balancers.fract() != 0.0 {
        return Err(SettingsError(format!(
            "settings: balancers: {} is no number of proxies",
            conf.balancers
        )));
    }
    let family = &conf.family_info;
    if family.class_read.len() < conf.classes.len() {
        return Err(SettingsError("settings: classRead is shorter than classes".into()));
    }
    let mut classes = Vec::with_capacity(conf.classes.len());
    for (i, class) in conf.classes.iter().enumerate() {
        let access = match family.class_read[i].as_str() {
            "eventual" => Access::AnyRead,
            "lag_bound" => match family.staleness_bound_us.get(i) {
                Some(bound) => Access::BoundedRead(*bound as u64),
                None => return Err(SettingsError(format!("settings: no stalenessBoundUs[{i}]"))),
            },
            "causal" => Access::SessionRead,
            "strong" => Access::StrongRead,
            "mutate" => Access::Write,
            other => return unknown_value("classRead", other),
        };
        let idempotency = match class.effect.as_str() {
            "retryable" => Idempotency::Idempotent,
            "fragile" => Idempotency::NotIdempotent,
            "dedup" => {
                let scope = match class.dedup_scope.as_str() {
                    "all" => DedupScope::All,
                    "zone" => DedupScope::Zone,
                    "cell" => DedupScope::Group,
                    other => return unknown_value("dedupScope", other),
                };
                let window_factor = if crate::mutants::on("keys are kept longer") { 3 } else { 1 };
                Idempotency::Keyed(scope, class.dedup_window_us as u64 * window_factor)
            }
            other => return unknown_value("effect", other),
        };
        classes.push(Class {
            access,
            idempotency,
            latency_target: class.slo_us as u64,
            deadline: class.deadline_us as u64,
            worth: class.worth,
            late_worth: class.late_worth,
            latency_target_stretch: class.aim_stretch,
        });
    }
    if let Some(t) = conf.tenants.iter().find(|t| !(0.0..1e12).contains(&t.quota_rps)) {
        return Err(SettingsError(format!("settings: tenants: quotaRps of {:?}: {}", t.name, t.quota_rps)));
    }
    if !(0.0..=1.0).contains(&conf.over_share_worth) {
        return Err(SettingsError(format!("settings: overShareWorth: {}", conf.over_share_worth)));
    }
    let safety = &conf.safety;
    let ceilings = &conf.ceilings;
    let field_index = |name: &str| conf.load_info.fields.iter().position(|f| f == name);
    let program_settings = ProgramSettings {
        zero_us: family.zero_us,
        position_index: field_index("x0"),
        role_index: field_index("x1"),
        in_flight_index: field_index("inflight"),
        report_fields: conf.load_info.fields.clone(),
        class_names: conf.classes.iter().map(|c| c.name.clone()).collect(),
        tenant_names: conf.tenants.iter().map(|t| t.name.clone()).collect(),
        zone_names: conf.azs.clone(),
        host_type_names: conf.host_types.clone(),
        dial_timeout_us: ceilings.dial_timeout_us as u64,
        keepalive_us: ceilings.keepalive_us as u64,
    };
    let settings = Settings {
        // `balancers` may be 0; this proxy counts in any case.
        proxy_count: (conf.balancers as u32).max(1),
        ordinal: conf.ordinal,
        zone: conf.zone,
        classes,
        list_mode: match conf.membership_mode.as_str() {
            "pushed" => ListMode::Pushed,
            "on_request" => ListMode::OnRequest,
            other => return unknown_value("membershipMode", other),
        },
        list_role: match family.role_in_list.as_str() {
            "trailing" => ListRole::Delayed,
            "static" => ListRole::AtStartup,
            "silent" => ListRole::Absent,
            other => return unknown_value("roleInList", other),
        },
        lag_check: match family.behind.as_str() {
            "silent" => LagCheck::Unchecked,
            "bounce" => LagCheck::Reject,
            "await" => LagCheck::Wait(family.catch_up_wait_us as u64),
            other => return unknown_value("behind", other),
        },
        session_tokens: match family.write_marks.as_str() {
            "brought" => SessionTokens::FromClient,
            "kept" => SessionTokens::TrackedByProxy,
            other => return unknown_value("writeMarks", other),
        },
        cross_zone_costs: conf.fees.cross_zone > 0.0,
        answers_carry_positions: family.positions,
        limits: Limits {
            cancel: ceilings.cancel,
            probes: ceilings.may_probe,
            peers: ceilings.peer_messages,
            retry_after: ceilings.retry_after,
            max_retry_after: ceilings.max_retry_after_us as u64,
            hedging: ceilings.second_copies,
            // An attempt's number is a byte.
            max_attempts: ceilings.most_tries.min(u32::from(u8::MAX)) as usize,
        },
        safety: Safety {
            drain_grace: safety.drain_grace_us as u64,
            only_draining_binds: safety.drain_binds_alone,
            start_capacity: safety.start_capacity,
            cold_duration: safety.cold_us as u64,
            overload_multiple: safety.tip_multiple,
            overload_duration: safety.overload_for_us as u64,
            max_list_age: safety.ask_within_us as u64,
        },
        quotas: conf.tenants.iter().map(|t| t.quota_rps).collect(),
        over_quota_worth: conf.over_share_worth,
    };
    Ok((settings, program_settings))
}
