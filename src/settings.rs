//! Reads the settings object that a deployment hands to every router, for both programs.
//!
//! It owns the names and units of that object and turns them into the module's own [`Settings`],
//! beside a [`ProgramSettings`]: what a program must know to speak, and the module need not. It takes text
//! and returns values; it must never read a file or the environment, nor decide anything.

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

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Conf {
    balancers: f64,
    ordinal: u32,
    zone: u8,
    classes: Vec<ClassConf>,
    membership_mode: String,
    family_info: Family,
    ceilings: Ceilings,
    safety: SafetyConf,
    load_info: LoadInfo,
    #[serde(default)]
    fees: Fees,
    #[serde(default)]
    azs: Vec<String>,
    #[serde(default)]
    host_types: Vec<String>,
    #[serde(default)]
    tenants: Vec<TenantConf>,
    #[serde(default = "all_of_it")]
    over_share_worth: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct TenantConf {
    name: String,
    quota_rps: f64,
}

fn all_of_it() -> f64 {
    1.0
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Fees {
    #[serde(default)]
    cross_zone: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ClassConf {
    #[serde(default)]
    name: String,
    effect: String,
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

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Family {
    behind: String,
    #[serde(default)]
    catch_up_wait_us: f64,
    class_read: Vec<String>,
    staleness_bound_us: Vec<f64>,
    positions: bool,
    role_in_list: String,
    write_marks: String,
    zero_us: u64,
}

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
    #[serde(default = "dial_timeout")]
    dial_timeout_us: f64,
    #[serde(default = "keepalive")]
    keepalive_us: f64,
}

fn dial_timeout() -> f64 {
    250_000.0
}

fn keepalive() -> f64 {
    30_000_000.0
}

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

#[derive(Deserialize)]
struct LoadInfo {
    #[serde(default)]
    fields: Vec<String>,
}

/// What a program itself needs, beside the module's settings, to speak with the rest.
#[derive(Clone, Debug)]
pub struct ProgramSettings {
    /// Clock time from which positions are measured.
    pub zero_us: u64,
    /// Index of the position among the report's values.
    pub position_index: Option<usize>,
    /// Index of the role.
    pub role_index: Option<usize>,
    /// Index of the requests in hand.
    pub in_flight_index: Option<usize>,
    /// Names of a report's values, in the order of the wire.
    pub report_fields: Vec<String>,
    /// Names of the classes, by the module's index.
    pub class_names: Vec<String>,
    /// Names of the tenants, by the module's index.
    pub tenant_names: Vec<String>,
    /// Names of the zones, by index.
    pub zone_names: Vec<String>,
    /// Names of the machine types, by index.
    pub host_type_names: Vec<String>,
    /// A connection that is not up by then has failed.
    pub dial_timeout_us: u64,
    /// A server closes a connection that has stood idle for this long.
    pub keepalive_us: u64,
}

fn bad<T>(key: &str, value: &str) -> Result<T> {
    Err(SettingsError(format!("settings: {key} has the unknown value {value:?}")))
}

/// Parses the settings text.
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
    for (i, c) in conf.classes.iter().enumerate() {
        let access = match family.class_read[i].as_str() {
            "eventual" => Access::AnyRead,
            "lag_bound" => match family.staleness_bound_us.get(i) {
                Some(bound) => Access::BoundedRead(*bound as u64),
                None => return Err(SettingsError(format!("settings: no stalenessBoundUs[{i}]"))),
            },
            "causal" => Access::SessionRead,
            "strong" => Access::StrongRead,
            "mutate" => Access::Write,
            other => return bad("classRead", other),
        };
        let idempotency = match c.effect.as_str() {
            "retryable" => Idempotency::Idempotent,
            "fragile" => Idempotency::NotIdempotent,
            "dedup" => {
                let scope = match c.dedup_scope.as_str() {
                    "all" => DedupScope::All,
                    "zone" => DedupScope::Zone,
                    "cell" => DedupScope::Group,
                    other => return bad("dedupScope", other),
                };
                let kept = if crate::mutants::on("keys are kept longer") { 3 } else { 1 };
                Idempotency::Keyed(scope, c.dedup_window_us as u64 * kept)
            }
            other => return bad("effect", other),
        };
        classes.push(Class {
            access,
            idempotency,
            latency_target: c.slo_us as u64,
            deadline: c.deadline_us as u64,
            worth: c.worth,
            late_worth: c.late_worth,
            latency_target_stretch: c.aim_stretch,
        });
    }
    if let Some(t) = conf.tenants.iter().find(|t| !(0.0..1e12).contains(&t.quota_rps)) {
        return Err(SettingsError(format!("settings: tenants: quotaRps of {:?}: {}", t.name, t.quota_rps)));
    }
    if !(0.0..=1.0).contains(&conf.over_share_worth) {
        return Err(SettingsError(format!("settings: overShareWorth: {}", conf.over_share_worth)));
    }
    let s = &conf.safety;
    let l = &conf.ceilings;
    let field = |name: &str| conf.load_info.fields.iter().position(|f| f == name);
    let program_settings = ProgramSettings {
        zero_us: family.zero_us,
        position_index: field("x0"),
        role_index: field("x1"),
        in_flight_index: field("inflight"),
        report_fields: conf.load_info.fields.clone(),
        class_names: conf.classes.iter().map(|c| c.name.clone()).collect(),
        tenant_names: conf.tenants.iter().map(|t| t.name.clone()).collect(),
        zone_names: conf.azs.clone(),
        host_type_names: conf.host_types.clone(),
        dial_timeout_us: l.dial_timeout_us as u64,
        keepalive_us: l.keepalive_us as u64,
    };
    let settings = Settings {
        // One that is not counted is there all the same.
        proxy_count: (conf.balancers as u32).max(1),
        ordinal: conf.ordinal,
        zone: conf.zone,
        classes,
        list_mode: match conf.membership_mode.as_str() {
            "pushed" => ListMode::Pushed,
            "on_request" => ListMode::OnRequest,
            other => return bad("membershipMode", other),
        },
        list_role: match family.role_in_list.as_str() {
            "trailing" => ListRole::Delayed,
            "static" => ListRole::AtStartup,
            "silent" => ListRole::Absent,
            other => return bad("roleInList", other),
        },
        lag_check: match family.behind.as_str() {
            "silent" => LagCheck::Unchecked,
            "bounce" => LagCheck::Reject,
            "await" => LagCheck::Wait(family.catch_up_wait_us as u64),
            other => return bad("behind", other),
        },
        tokens: match family.write_marks.as_str() {
            "brought" => SessionTokens::FromClient,
            "kept" => SessionTokens::TrackedByProxy,
            other => return bad("writeMarks", other),
        },
        cross_zone_costs: conf.fees.cross_zone > 0.0,
        positions: family.positions,
        limits: Limits {
            cancel: l.cancel,
            probes: l.may_probe,
            peers: l.peer_messages,
            retry_after: l.retry_after,
            max_retry_after: l.max_retry_after_us as u64,
            hedging: l.second_copies,
            // Attempts are told apart by a byte.
            max_attempts: l.most_tries.min(u32::from(u8::MAX)) as usize,
        },
        safety: Safety {
            drain_grace: s.drain_grace_us as u64,
            only_draining_binds: s.drain_binds_alone,
            start_capacity: s.start_capacity,
            cold_duration: s.cold_us as u64,
            overload_multiple: s.tip_multiple,
            overload_duration: s.overload_for_us as u64,
            max_list_age: s.ask_within_us as u64,
        },
        quotas: conf.tenants.iter().map(|t| t.quota_rps).collect(),
        over_quota_worth: conf.over_share_worth,
    };
    Ok((settings, program_settings))
}
