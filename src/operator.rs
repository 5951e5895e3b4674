//! The operator's own file, JSON5: what the platform does not set. It owns the names of its keys, their defaults
//! and their checks; every message names the key and its place in the file. Everything in it is off where it is
//! not written. It must never be read piece by piece: it is taken whole or not at all.

use crate::{Access, Settings};
use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;
use sillfold_conf::locate;
use sillfold_route::sql::{FunctionAdditions, ParseLimits};
use sillfold_route::{Classes, DurationRange, GroupSelector, Options, Rule, TablePattern, find_faults};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// The whole file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct File {
    /// How sessions at database hosts are opened.
    #[garde(dive)]
    pub hosts: Hosts,
    /// Statements without a comment that names their terms.
    #[garde(dive)]
    pub statements: Statements,
    /// The record of load for the planner.
    #[garde(dive)]
    pub capture: CaptureConf,
    /// What is left of the hosts' capacity.
    #[garde(skip)]
    pub headroom: HeadroomConf,
}

/// What is left of the hosts' capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct HeadroomConf {
    /// Whether it is learnt, and shown among the console's figures.
    pub enabled: bool,
    /// Whether requests are turned away by it at the door, those worth least for their work first.
    pub shed: bool,
}

/// The record of load.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct CaptureConf {
    /// Where it is written; none, and nothing is recorded.
    #[garde(inner(length(min = 1)))]
    pub file: Option<String>,
    /// How long each record is, in milliseconds.
    #[garde(range(min = 100, max = 600_000))]
    pub every_ms: u64,
    /// Kilobytes after which the file is put aside and a new one begun.
    #[garde(range(min = 16, max = 1_048_576))]
    pub most_kb: u64,
    /// Files that are kept beside the present one.
    #[garde(range(max = 100))]
    pub keep: u32,
    /// One service time in so many is recorded.
    #[garde(range(min = 1, max = 100_000))]
    pub sample: u32,
}

impl Default for CaptureConf {
    fn default() -> CaptureConf {
        CaptureConf { file: None, every_ms: 1_000, most_kb: 4_096, keep: 4, sample: 1 }
    }
}

/// As whom the proxy opens its sessions at database hosts. Every statement runs so, whoever sent it.
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
    /// Whether they are served at all.
    #[garde(skip)]
    pub enabled: bool,
    /// What becomes of several statements in one text.
    #[garde(skip)]
    pub several: Several,
    /// Kilobytes that the shape cache may hold.
    #[garde(range(min = 16, max = 1_048_576))]
    pub cache_kb: u32,
    /// The longest shape that is kept in the cache, in bytes.
    #[garde(range(min = 64, max = 65_536))]
    pub longest_kept: u32,
    /// The longest shape that is parsed, in bytes; a longer one is a write.
    #[garde(range(min = 64, max = 65_536))]
    pub longest_parsed: u32,
    /// How deeply parentheses may be nested; a deeper statement is a write.
    #[garde(range(min = 1, max = 32))]
    pub deepest: u32,
    /// What the simplest statement takes until better is known, in milliseconds.
    #[garde(range(min = 0.001, max = 60_000.0))]
    pub start_cost_ms: f64,
    /// What is known of functions.
    #[garde(dive)]
    pub functions: FunctionLists,
    /// The rules; the first that matches counts.
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

/// What becomes of several statements in one text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Several {
    /// They go to the primary, whole.
    Primary,
    /// They are refused.
    Refuse,
}

/// Functions and other names, beside the list that comes with the program.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct FunctionLists {
    /// Functions without effects, as statements call them: `area` or `gis.area`.
    #[garde(length(max = 4_096), inner(length(chars, min = 1, max = 130)))]
    pub known: Vec<String>,
    /// Names of functions, views or columns whose mention makes a statement a write.
    #[garde(length(max = 4_096), inner(length(chars, min = 1, max = 130)))]
    pub effects: Vec<String>,
    /// Whether the list that comes with the program counts.
    #[garde(skip)]
    pub builtin: bool,
}

impl Default for FunctionLists {
    fn default() -> FunctionLists {
        FunctionLists { known: Vec::new(), effects: Vec::new(), builtin: true }
    }
}

/// One rule. Conditions that are not written ask nothing.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct RuleConf {
    /// Its name in messages.
    #[garde(length(chars, min = 1, max = 64))]
    pub name: String,
    /// The effects that it takes.
    #[garde(length(min = 1))]
    pub effects: BTreeSet<EffectConf>,
    /// All tables of the statement are among these: names, `schema.name` or `schema.*`.
    #[serde(default)]
    #[garde(length(max = 1_024), inner(custom(table)))]
    pub tables: Vec<String>,
    /// Its usual service time, in milliseconds.
    #[serde(default)]
    #[garde(dive)]
    pub cost_ms: BandConf,
    /// The 95th percentile of its service time, in milliseconds.
    #[serde(default)]
    #[garde(dive)]
    pub tail_ms: BandConf,
    /// Whose statements.
    #[serde(default)]
    #[garde(length(max = 256))]
    pub users: BTreeSet<String>,
    /// In which databases.
    #[serde(default)]
    #[garde(length(max = 256))]
    pub databases: BTreeSet<String>,
    /// The class that it gives, one of the platform's settings.
    #[garde(length(min = 1, max = 64))]
    pub class: String,
    /// How long the client waits, in milliseconds.
    #[garde(range(min = 1, max = 60_000))]
    pub deadline_ms: u64,
    /// The group that it gives.
    #[garde(dive)]
    pub group: GroupConf,
}

/// What a statement does, as a rule names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum EffectConf {
    /// It changes nothing.
    Read,
    /// It may.
    Write,
}

/// A span of times in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct BandConf {
    /// The smallest that is in it.
    #[garde(range(min = 0.0, max = 1e9))]
    pub from: f64,
    /// The smallest beyond it.
    #[garde(inner(range(min = 0.0, max = 1e9)))]
    pub below: Option<f64>,
}

/// Where the group comes from.
#[derive(Clone, Debug, PartialEq, Deserialize, JsonSchema, Validate)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum GroupConf {
    /// Always this one.
    Constant(#[garde(skip)] u32),
    /// That of the statement's tables, which must all have the same.
    ByTable(#[garde(length(min = 1, max = 4_096))] BTreeMap<String, u32>),
    /// By rendezvous hash of the literal that a column is equal to.
    ByKey {
        /// The column's name, without its table.
        #[garde(length(chars, min = 1, max = 63))]
        column: String,
        /// The groups, in any order.
        #[garde(length(min = 1, max = 4_096))]
        among: Vec<u32>,
    },
}

fn no_nul(text: &str, (): &()) -> garde::Result {
    if text.contains('\0') { Err(garde::Error::new("holds a NUL")) } else { Ok(()) }
}

fn table(text: &str, (): &()) -> garde::Result {
    let star = text.find('*');
    let whole = !text.is_empty() && text.len() <= 130;
    if whole && star.is_none_or(|at| at + 1 == text.len() && text.ends_with(".*") && at > 1) {
        return Ok(());
    }
    Err(garde::Error::new("is no table: `name`, `schema.name` or `schema.*`"))
}

impl BandConf {
    fn band(&self) -> DurationRange {
        let us = |ms: f64| (ms * 1e3).round() as u64;
        DurationRange { from_us: us(self.from), below_us: self.below.map_or(u64::MAX, us) }
    }
}

impl RuleConf {
    fn rule(&self) -> Rule {
        Rule {
            name: self.name.clone(),
            reads: self.effects.contains(&EffectConf::Read),
            writes: self.effects.contains(&EffectConf::Write),
            tables: self.tables.iter().map(|t| TablePattern::new(t)).collect(),
            cost: self.cost_ms.band(),
            tail: self.tail_ms.band(),
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
    /// What the desk is told.
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

/// What is wrong with a file, a line each, and what may be.
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
    /// Reads and checks a file; with the platform's classes, where they are known, also against them.
    pub fn load(path: &Path, classes: Option<&Classes>) -> (Option<File>, Findings) {
        match sillfold_conf::read_text(path) {
            Ok(text) => File::parse(&path.display().to_string(), &text, classes),
            Err(what) => (None, Findings { errors: vec![what], notes: Vec::new() }),
        }
    }

    /// The same of a text; `name` leads every message.
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
        let at = |rule: &str| names.iter().position(|n| *n == rule).unwrap_or(0);
        for (i, rule) in names.iter().enumerate().filter(|(i, n)| at(n) != *i) {
            let key = format!("statements.rules[{i}].name");
            findings.errors.push(format!("{name}:{}: {key}: {rule:?} is another rule's", locate(text, &key)));
        }
        if file.statements.enabled && names.is_empty() {
            let what = "no rule, so that every plain statement is refused";
            findings.errors.push(format!("{name}:{}: statements.rules: {what}", locate(text, "statements")));
        }
        let rules: Vec<Rule> = file.statements.rules.iter().map(RuleConf::rule).collect();
        for fault in find_faults(&rules, classes.filter(|_| file.statements.enabled)) {
            use sillfold_route::RuleFault::{Overlap, Shadowed, Unreachable};
            let (Unreachable(rule, _) | Shadowed(rule, _) | Overlap(_, rule)) = &fault;
            let key = format!("statements.rules[{}]", at(rule));
            let line = format!("{name}:{}: {key}: {fault}", locate(text, &key));
            let list = if fault.is_error() { &mut findings.errors } else { &mut findings.notes };
            list.push(line);
        }
        let sound = findings.errors.is_empty();
        (sound.then_some(file), findings)
    }
}
