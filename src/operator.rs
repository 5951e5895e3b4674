//! The operator's configuration file, in JSON5, for everything that the platform's file does not set. The module owns the
//! names of the keys, their defaults and their validation; each message names the key and its place in the file. Optional
//! features are off by default. The file must be accepted as a whole or rejected as a whole.
//!
//! The names and doc comments of the types appear in the JSON schema that `check --schema` prints.

use crate::{Access, Settings};
use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;
use sillfold_conf::locate;
use sillfold_route::sql::{FunctionAdditions, ParseLimits};
use sillfold_route::{Classes, DurationRange, GroupSelector, Options, Rule, TablePattern, find_faults};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// The operator's configuration file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct File {
    /// The user and database of the sessions at database hosts.
    #[garde(dive)]
    pub hosts: Hosts,
    /// Plain statements: those without a comment that states their terms.
    #[garde(dive)]
    pub statements: Statements,
    /// The capture of load for the planner.
    #[garde(dive)]
    pub capture: CaptureConf,
    /// The estimate of the hosts' headroom.
    #[garde(skip)]
    pub headroom: HeadroomConf,
}

/// The estimate of the hosts' headroom: how much of their capacity is left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct HeadroomConf {
    /// Whether headroom is estimated, and shown among the console's figures.
    pub enabled: bool,
    /// Whether the proxy refuses requests on arrival when headroom runs out, those with the least worth per work first.
    pub shed: bool,
}

/// The capture of load.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct CaptureConf {
    /// The file that the capture is written to; without it nothing is recorded.
    #[garde(inner(length(min = 1)))]
    pub file: Option<String>,
    /// The span of time that each record covers, in milliseconds.
    #[garde(range(min = 100, max = 600_000))]
    pub every_ms: u64,
    /// The size in kilobytes at which the file is rotated.
    #[garde(range(min = 16, max = 1_048_576))]
    pub most_kb: u64,
    /// The number of rotated files that are kept.
    #[garde(range(max = 100))]
    pub keep: u32,
    /// The sampling interval of service times: with 10, one in ten is recorded.
    #[garde(range(min = 1, max = 100_000))]
    pub sample: u32,
}

impl Default for CaptureConf {
    fn default() -> CaptureConf {
        CaptureConf { file: None, every_ms: 1_000, most_kb: 4_096, keep: 4, sample: 1 }
    }
}

/// The user and database with which the proxy opens its sessions at database hosts. Every statement runs under them,
/// whichever client sent it.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Hosts {
    /// The user's name.
    #[garde(length(chars, min = 1, max = 63), custom(no_nul))]
    pub user: String,
    /// The database's name.
    #[garde(length(chars, min = 1, max = 63), custom(no_nul))]
    pub database: String,
}

impl Default for Hosts {
    fn default() -> Hosts {
        Hosts { user: "web".into(), database: "orders".into() }
    }
}

/// Plain statements.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Statements {
    /// Whether plain statements are served.
    #[garde(skip)]
    pub enabled: bool,
    /// How a text with several statements is handled.
    #[garde(skip)]
    pub several: Several,
    /// The size limit of the shape cache, in kilobytes.
    #[garde(range(min = 16, max = 1_048_576))]
    pub cache_kb: u32,
    /// The longest shape that is cached, in bytes.
    #[garde(range(min = 64, max = 65_536))]
    pub longest_kept: u32,
    /// The longest shape that is parsed, in bytes; a statement with a longer one counts as a write.
    #[garde(range(min = 64, max = 65_536))]
    pub longest_parsed: u32,
    /// The nesting depth of parentheses up to which a statement is parsed; a deeper one counts as a write.
    #[garde(range(min = 1, max = 32))]
    pub deepest: u32,
    /// The service time assumed for the simplest statement until times are measured, in milliseconds.
    #[garde(range(min = 0.001, max = 60_000.0))]
    pub start_cost_ms: f64,
    /// Functions and names with or without effects.
    #[garde(dive)]
    pub functions: FunctionLists,
    /// The rules; the first that matches applies.
    #[garde(length(max = 128), dive)]
    pub rules: Vec<RuleConf>,
}

impl Default for Statements {
    fn default() -> Statements {
        Statements {
            enabled: false,
            several: Several::Primary,
            cache_kb: 2_048,
            longest_kept: 8_192,
            longest_parsed: 16_384,
            deepest: 24,
            start_cost_ms: 2.0,
            functions: FunctionLists::default(),
            rules: Vec::new(),
        }
    }
}

/// How a text with several statements is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Several {
    /// All of them go to the primary together.
    Primary,
    /// The text is refused.
    Refuse,
}

/// Functions and other names, in addition to the built-in list.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct FunctionLists {
    /// Functions without side effects, named as in statements: `area` or `gis.area`.
    #[garde(length(max = 4_096), inner(length(chars, min = 1, max = 130)))]
    pub known: Vec<String>,
    /// Names of functions, views or columns; a statement that mentions one counts as a write.
    #[garde(length(max = 4_096), inner(length(chars, min = 1, max = 130)))]
    pub effects: Vec<String>,
    /// Whether the built-in list is used.
    #[garde(skip)]
    pub builtin: bool,
}

impl Default for FunctionLists {
    fn default() -> FunctionLists {
        FunctionLists { known: Vec::new(), effects: Vec::new(), builtin: true }
    }
}

/// One rule. A condition that is left out matches every statement.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct RuleConf {
    /// The rule's name in messages.
    #[garde(length(chars, min = 1, max = 64))]
    pub name: String,
    /// The effects of the statements that match.
    #[garde(length(min = 1))]
    pub effects: BTreeSet<EffectConf>,
    /// The patterns that all tables of the statement must match: `name`, `schema.name` or `schema.*`.
    #[serde(default)]
    #[garde(length(max = 1_024), inner(custom(table)))]
    pub tables: Vec<String>,
    /// The range of the statement's usual service time, in milliseconds.
    #[serde(default)]
    #[garde(dive)]
    pub cost_ms: BandConf,
    /// The range of the 95th percentile of its service time, in milliseconds.
    #[serde(default)]
    #[garde(dive)]
    pub tail_ms: BandConf,
    /// The users whose statements match.
    #[serde(default)]
    #[garde(length(max = 256))]
    pub users: BTreeSet<String>,
    /// The databases whose statements match.
    #[serde(default)]
    #[garde(length(max = 256))]
    pub databases: BTreeSet<String>,
    /// The class assigned to the statement, one of the classes in the platform's settings.
    #[garde(length(min = 1, max = 64))]
    pub class: String,
    /// The client's deadline, in milliseconds.
    #[garde(range(min = 1, max = 60_000))]
    pub deadline_ms: u64,
    /// The group assigned to the statement.
    #[garde(dive)]
    pub group: GroupConf,
}

/// The effect of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum EffectConf {
    /// The statement changes nothing.
    Read,
    /// The statement may change something.
    Write,
}

/// A half-open range of times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct BandConf {
    /// The lower bound, which is within the range.
    #[garde(range(min = 0.0, max = 1e9))]
    pub from: f64,
    /// The upper bound, which is outside the range; without it the range has no upper bound.
    #[garde(inner(range(min = 0.0, max = 1e9)))]
    pub below: Option<f64>,
}

/// How the group is determined.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema, Validate)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum GroupConf {
    /// Always this group.
    Constant(#[garde(skip)] u32),
    /// The group of the statement's tables; all of them must have the same one.
    ByTable(#[garde(length(min = 1, max = 4_096))] BTreeMap<String, u32>),
    /// The group is chosen by rendezvous hashing of the literal to which a column is compared for equality.
    ByKey {
        /// The column's name, without its table.
        #[garde(length(chars, min = 1, max = 63))]
        column: String,
        /// The groups, in any order.
        #[garde(length(min = 1, max = 4_096))]
        among: Vec<u32>,
    },
}

/// Validates that a text has no NUL, which ends strings in the protocol.
fn no_nul(text: &str, (): &()) -> garde::Result {
    if text.contains('\0') { Err(garde::Error::new("holds a NUL")) } else { Ok(()) }
}

/// Validates a table pattern: `name`, `schema.name` or `schema.*`.
fn table(text: &str, (): &()) -> garde::Result {
    let star = text.find('*');
    let has_valid_length = !text.is_empty() && text.len() <= 130;
    if has_valid_length && star.is_none_or(|at| at + 1 == text.len() && text.ends_with(".*") && at > 1) {
        return Ok(());
    }
    Err(garde::Error::new("is no table: `name`, `schema.name` or `schema.*`"))
}

impl BandConf {
    /// The range in microseconds.
    fn range(&self) -> DurationRange {
        let us = |ms: f64| (ms * 1e3).round() as u64;
        DurationRange { from_us: us(self.from), below_us: self.below.map_or(u64::MAX, us) }
    }
}

impl RuleConf {
    /// The rule in the form that the statement router takes.
    fn rule(&self) -> Rule {
        Rule {
            name: self.name.clone(),
            reads: self.effects.contains(&EffectConf::Read),
            writes: self.effects.contains(&EffectConf::Write),
            tables: self.tables.iter().map(|t| TablePattern::new(t)).collect(),
            cost: self.cost_ms.range(),
            tail: self.tail_ms.range(),
            users: self.users.clone(),
            databases: self.databases.clone(),
            class: self.class.clone(),
            deadline_ms: self.deadline_ms,
            group: match &self.group {
                GroupConf::Constant(group) => GroupSelector::Constant(*group),
                GroupConf::ByTable(groups) => {
                    GroupSelector::ByTable(groups.iter().map(|(t, g)| (TablePattern::new(t), *g)).collect())
                }
                GroupConf::ByKey { column, among } => {
                    GroupSelector::ByKey { column: column.clone(), groups: among.clone() }
                }
            },
        }
    }
}

impl Statements {
    /// The options of the statement router.
    pub fn options(&self) -> Options {
        Options {
            rules: self.rules.iter().map(RuleConf::rule).collect(),
            allow_multiple_statements: self.several == Several::Primary,
            cache_bytes: self.cache_kb as usize * 1024,
            max_cached_shape_bytes: self.longest_kept as usize,
            limits: ParseLimits {
                max_shape_bytes: self.longest_parsed as usize,
                max_depth: self.deepest as usize,
                ..ParseLimits::default()
            },
            base_cost_us: (self.start_cost_ms * 1e3) as u64,
            function_additions: FunctionAdditions {
                side_effect_free: self.functions.known.clone(),
                with_effects: self.functions.effects.clone(),
                omit_builtin: !self.functions.builtin,
            },
        }
    }
}

/// The findings about a file: errors, for which it is rejected, and notes; one line each.
#[derive(Debug, Default, PartialEq)]
pub struct Findings {
    pub errors: Vec<String>,
    pub notes: Vec<String>,
}

/// The classes of the platform's settings, and whether each takes writes.
pub fn classes(settings: &Settings, names: &[String]) -> Classes {
    let writes = settings.classes.iter().map(|c| c.access == Access::Write);
    names.iter().cloned().zip(writes).collect()
}

impl File {
    /// Reads and validates a file. The rules' classes are checked against `classes`, the platform's, if given.
    pub fn load(path: &Path, classes: Option<&Classes>) -> (Option<File>, Findings) {
        match sillfold_conf::read_text(path) {
            Ok(text) => File::parse(&path.display().to_string(), &text, classes),
            Err(error) => (None, Findings { errors: vec![error], notes: Vec::new() }),
        }
    }

    /// The same for a text; each message begins with `name`.
    pub fn parse(name: &str, text: &str, classes: Option<&Classes>) -> (Option<File>, Findings) {
        let mut findings = Findings::default();
        let file: File = match sillfold_conf::parse(name, text) {
            Ok(file) => file,
            Err(errors) => {
                findings.errors = errors;
                return (None, findings);
            }
        };
        let names: Vec<&str> = file.statements.rules.iter().map(|r| r.name.as_str()).collect();
        let index_of = |rule: &str| names.iter().position(|n| *n == rule).unwrap_or(0);
        for (i, rule) in names.iter().enumerate().filter(|(i, n)| index_of(n) != *i) {
            let key = format!("statements.rules[{i}].name");
            findings.errors.push(format!("{name}:{}: {key}: {rule:?} is another rule's", locate(text, &key)));
        }
        if file.statements.enabled && names.is_empty() {
            let error = "no rule, so that every plain statement is refused";
            findings.errors.push(format!("{name}:{}: statements.rules: {error}", locate(text, "statements")));
        }
        let rules: Vec<Rule> = file.statements.rules.iter().map(RuleConf::rule).collect();
        for fault in find_faults(&rules, classes.filter(|_| file.statements.enabled)) {
            use sillfold_route::RuleFault::{Overlap, Shadowed, Unreachable};
            let (Unreachable(rule, _) | Shadowed(rule, _) | Overlap(_, rule)) = &fault;
            let key = format!("statements.rules[{}]", index_of(rule));
            let line = format!("{name}:{}: {key}: {fault}", locate(text, &key));
            let list = if fault.is_error() { &mut findings.errors } else { &mut findings.notes };
            list.push(line);
        }
        let valid = findings.errors.is_empty();
        (valid.then_some(file), findings)
    }
}
