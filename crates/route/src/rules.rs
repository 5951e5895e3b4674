//! Rules of the operator: which statements get which class, deadline and group, and what is wrong with a list of
//! rules as a whole. Pure. It must never give a write a class that only reads, and never guess where no rule matches.

use crate::hash::fnv1a;
use sillfold_sql::{Analysis, Effect, literal_text};
use std::collections::{BTreeMap, BTreeSet};

/// A range of durations, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DurationRange {
    /// The inclusive lower bound.
    pub from_us: u64,
    /// The exclusive upper bound.
    pub below_us: u64,
}

impl Default for DurationRange {
    fn default() -> DurationRange {
        DurationRange { from_us: 0, below_us: u64::MAX }
    }
}

impl DurationRange {
    fn contains(&self, us: u64) -> bool {
        (self.from_us..self.below_us).contains(&us)
    }
    fn covers(&self, other: &DurationRange) -> bool {
        self.from_us <= other.from_us && other.below_us <= self.below_us
    }
    fn overlaps(&self, other: &DurationRange) -> bool {
        self.from_us.max(other.from_us) < self.below_us.min(other.below_us)
    }
}

/// A pattern of table names: one table, or `schema.*` for all tables of a schema. The schema `public` may be omitted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TablePattern(String);

impl TablePattern {
    /// A pattern as operators write it.
    pub fn new(text: &str) -> TablePattern {
        TablePattern(without_public(text).to_string())
    }
    fn matches(&self, table: &str) -> bool {
        match self.0.strip_suffix('*') {
            Some(schema) => {
                without_public(table).strip_prefix(schema).is_some_and(|rest| !rest.contains('.'))
            }
            None => without_public(table) == self.0,
        }
    }
    fn covers(&self, other: &TablePattern) -> bool {
        self == other || (!other.0.ends_with('*') && self.matches(&other.0))
    }
}

/// A table's name without the schema `public`.
fn without_public(table: &str) -> &str {
    table.strip_prefix("public.").unwrap_or(table)
}

/// How a rule determines a statement's group.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupSelector {
    /// Always this group.
    Constant(u32),
    /// The group of the statement's tables, which must all have the same. The first pattern that matches a table counts.
    ByTable(Vec<(TablePattern, u32)>),
    /// One of the groups, by rendezvous hash of the literal that the column is equal to.
    ByKey {
        /// The column's name without a table.
        column: String,
        /// The groups, in any order.
        groups: Vec<u32>,
    },
}

/// A rule: the conditions that a statement must meet, and the class, deadline and group that it then gets. An empty
/// list is no condition.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// The rule's name, for messages.
    pub name: String,
    /// Whether the rule matches reads.
    pub reads: bool,
    /// Whether the rule matches writes.
    pub writes: bool,
    /// The statement has tables, and each matches one of these patterns.
    pub tables: Vec<TablePattern>,
    /// The range of the statement's estimated median duration.
    pub cost: DurationRange,
    /// The range of the statement's estimated 95th percentile.
    pub tail: DurationRange,
    /// The users whose statements match.
    pub users: BTreeSet<String>,
    /// The databases in which statements match.
    pub databases: BTreeSet<String>,
    /// The name of the class that the statement gets.
    pub class: String,
    /// How long the client waits, in milliseconds.
    pub deadline_ms: u64,
    /// How the statement's group is determined.
    pub group: GroupSelector,
}

/// The properties of a statement that rules match on.
#[derive(Clone, Copy, Debug)]
pub struct StatementFacts<'a> {
    /// The analysis of the statement's shape.
    pub analysis: &'a Analysis,
    /// The number of statements in the text.
    pub statement_count: usize,
    /// The estimated median duration, in microseconds.
    pub p50_us: u64,
    /// The estimated 95th percentile, in microseconds.
    pub p95_us: u64,
    /// The client's user.
    pub user: &'a str,
    /// The client's database.
    pub database: &'a str,
}

impl StatementFacts<'_> {
    /// The effect that counts for routing. Several statements in one text count as a write, because only the primary
    /// may run them all.
    pub fn effect(&self) -> Effect {
        if self.statement_count > 1 { self.analysis.effect.max(Effect::Write) } else { self.analysis.effect }
    }
}

/// Why a rule determines no group for a statement. The text is sent to the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupError(pub String);

impl Rule {
    /// Whether this rule matches the statement.
    pub fn matches(&self, facts: &StatementFacts) -> bool {
        let effect = match facts.effect() {
            Effect::Read => self.reads,
            Effect::Write => self.writes,
            Effect::Session | Effect::Invalid => false,
        };
        let allows = |names: &BTreeSet<String>, name: &str| names.is_empty() || names.contains(name);
        effect
            && self.cost.contains(facts.p50_us)
            && self.tail.contains(facts.p95_us)
            && allows(&self.users, facts.user)
            && allows(&self.databases, facts.database)
            && self.matches_tables(facts.analysis.tables.iter().map(|t| &**t))
    }

    fn matches_tables<'t>(&self, tables: impl Iterator<Item = &'t str>) -> bool {
        if self.tables.is_empty() {
            return true;
        }
        let mut has_tables = false;
        let all_match =
            tables.inspect(|_| has_tables = true).all(|t| self.tables.iter().any(|p| p.matches(t)));
        all_match && has_tables
    }

    /// The group of a statement that this rule matches. `literal` returns the text of a literal by its index, and
    /// whether other literals were folded into it.
    pub fn group<'t>(
        &self, facts: &StatementFacts, literal: impl Fn(u16) -> Option<(&'t str, bool)>,
    ) -> Result<u32, GroupError> {
        let analysis = facts.analysis;
        match &self.group {
            GroupSelector::Constant(group) => Ok(*group),
            GroupSelector::ByTable(groups) => {
                let group_of = |table: &str| groups.iter().find(|(p, _)| p.matches(table)).map(|g| g.1);
                let mut found = None;
                for table in &analysis.tables {
                    let group = group_of(table)
                        .ok_or_else(|| self.group_error(format!("table {table} has no group")))?;
                    if found.is_some_and(|f| f != group) {
                        return Err(
                            self.group_error(format!("its tables are in several groups, {table} in {group}"))
                        );
                    }
                    found = Some(group);
                }
                found.ok_or_else(|| self.group_error("it names no table, and tables give the group".into()))
            }
            // Guards against a second statement with another key, or with none, running in the first one's group.
            GroupSelector::ByKey { .. } if facts.statement_count > 1 => {
                Err(self.group_error("several statements have no common key".into()))
            }
            GroupSelector::ByKey { column, groups } => {
                let mut found: Option<String> = None;
                for key in analysis.keys.iter().filter(|k| *k.column == **column) {
                    let (text, folded) = literal(key.literal_index)
                        .ok_or_else(|| self.group_error("a literal is lost".into()))?;
                    if folded {
                        return Err(self.group_error(format!("{column} is equal to several literals")));
                    }
                    let text = literal_text(text).ok_or_else(|| {
                        self.group_error(format!("{column} has a literal that is not plain"))
                    })?;
                    let text = if key.negative { format!("-{text}") } else { text };
                    if found.as_ref().is_some_and(|f| *f != text) {
                        return Err(self.group_error(format!("{column} is equal to two literals")));
                    }
                    found = Some(text);
                }
                let key =
                    found.ok_or_else(|| self.group_error(format!("{column} is equal to no literal")))?;
                rendezvous(&key, groups).ok_or_else(|| self.group_error("it names no groups".into()))
            }
        }
    }

    fn group_error(&self, reason: String) -> GroupError {
        GroupError(format!("rule {:?} takes this statement, and gives no group: {reason}", self.name))
    }

    /// Whether this rule matches every statement that the other rule matches.
    fn covers(&self, other: &Rule) -> bool {
        (self.reads || !other.reads)
            && (self.writes || !other.writes)
            && self.cost.covers(&other.cost)
            && self.tail.covers(&other.tail)
            && covers_names(&self.users, &other.users)
            && covers_names(&self.databases, &other.databases)
            && self.covers_tables(other)
    }

    fn covers_tables(&self, other: &Rule) -> bool {
        let is_covered = |p: &TablePattern| self.tables.iter().any(|own| own.covers(p));
        self.tables.is_empty() || (!other.tables.is_empty() && other.tables.iter().all(is_covered))
    }

    /// Whether some statement may match both rules.
    fn overlaps(&self, other: &Rule) -> bool {
        let names_overlap = |a: &BTreeSet<String>, b: &BTreeSet<String>| {
            a.is_empty() || b.is_empty() || a.intersection(b).next().is_some()
        };
        let tables_overlap = self.tables.is_empty()
            || other.tables.is_empty()
            || (self.tables.iter()).any(|a| other.tables.iter().any(|b| a.covers(b) || b.covers(a)));
        ((self.reads && other.reads) || (self.writes && other.writes))
            && self.cost.overlaps(&other.cost)
            && self.tail.overlaps(&other.tail)
            && names_overlap(&self.users, &other.users)
            && names_overlap(&self.databases, &other.databases)
            && tables_overlap
    }

    fn gives_same_terms(&self, other: &Rule) -> bool {
        (&self.class, self.deadline_ms, &self.group) == (&other.class, other.deadline_ms, &other.group)
    }
}

/// Whether a condition on names allows every name that the other condition allows.
fn covers_names(own: &BTreeSet<String>, other: &BTreeSet<String>) -> bool {
    own.is_empty() || (!other.is_empty() && other.is_subset(own))
}

/// The group with the highest score for this key. When a group is added or removed, only its own keys move.
/// Thaler and Ravishankar, "A name-based mapping scheme for rendezvous".
pub fn rendezvous(key: &str, groups: &[u32]) -> Option<u32> {
    let hash = fnv1a(key);
    // The finalizer of splitmix64 gives similar groups and keys unrelated scores.
    let score = |group: u32| {
        let mut z = hash ^ u64::from(group).wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    };
    groups.iter().copied().max_by_key(|&g| (score(g), g))
}

/// A fault in a list of rules. The rules are given by name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RuleFault {
    /// No statement can match the rule; the second text says why.
    Unreachable(String, String),
    /// Earlier rules, listed second, match every statement that the rule could match.
    Shadowed(String, Vec<String>),
    /// Two rules give different terms, and each matches statements that the other doesn't as well as some that both
    /// match. The first rule counts where both match.
    Overlap(String, String),
}

impl RuleFault {
    /// Whether the list of rules must be rejected. An overlap may be intended.
    pub fn is_error(&self) -> bool {
        !matches!(self, RuleFault::Overlap(..))
    }
}

impl std::fmt::Display for RuleFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RuleFault::Unreachable(rule, why) => write!(f, "rule {rule:?} is unreachable: {why}"),
            RuleFault::Shadowed(rule, by) => write!(f, "rule {rule:?} is shadowed by {}", by.join(", ")),
            RuleFault::Overlap(a, b) => {
                write!(f, "rules {a:?} and {b:?} overlap and differ; where both match, {a:?} counts")
            }
        }
    }
}

/// The platform's classes by name, each with whether it accepts writes.
pub type Classes = BTreeMap<String, bool>;

/// Combinations of conditions that are checked for one rule. Guards against a file whose check takes minutes; where a
/// rule has more combinations, a shadowed rule is not reported.
const MAX_CELLS: usize = 200_000;

/// Finds rules that no statement can reach and rules that overlap. Without `classes`, the rules' classes are not checked.
pub fn find_faults(rules: &[Rule], classes: Option<&Classes>) -> Vec<RuleFault> {
    let mut faults = Vec::new();
    for (i, rule) in rules.iter().enumerate() {
        if let Some(why) = unreachable_reason(rule, classes) {
            faults.push(RuleFault::Unreachable(rule.name.clone(), why));
            continue;
        }
        let shadowing = shadowing_rules(rule, &rules[..i]);
        if !shadowing.is_empty() {
            faults.push(RuleFault::Shadowed(rule.name.clone(), shadowing));
            continue;
        }
        for earlier in &rules[..i] {
            let nested = earlier.covers(rule) || rule.covers(earlier);
            if earlier.overlaps(rule) && !nested && !earlier.gives_same_terms(rule) {
                faults.push(RuleFault::Overlap(earlier.name.clone(), rule.name.clone()));
            }
        }
    }
    faults
}

/// Why no statement can match the rule, judged by the rule alone.
fn unreachable_reason(rule: &Rule, classes: Option<&Classes>) -> Option<String> {
    for (key, range) in [("cost_ms", rule.cost), ("tail_ms", rule.tail)] {
        if range.from_us >= range.below_us {
            return Some(format!("{key} holds no time"));
        }
    }
    if rule.tail.below_us <= rule.cost.from_us {
        return Some("tail_ms ends before cost_ms begins, and a tail is never shorter".into());
    }
    if !rule.reads && !rule.writes {
        return Some("it takes neither reads nor writes".into());
    }
    if matches!(&rule.group, GroupSelector::ByKey { groups, .. } if groups.is_empty()) {
        return Some("it names no groups".into());
    }
    let class_accepts_writes = match classes?.get(&rule.class) {
        None => return Some(format!("there is no class {:?}", rule.class)),
        Some(accepts_writes) => *accepts_writes,
    };
    (rule.writes && !class_accepts_writes)
        .then(|| format!("it takes writes, and class {:?} only reads", rule.class))
}

/// The earlier rules that together match every statement that this rule could match. Empty if some statement is left.
///
/// The values of each condition, except the one on tables, are divided into cells at the bounds that any of the rules
/// names. Within a cell, a rule matches all values or none, so one value stands for its cell. Tables need no cells: the
/// statement that names all tables of the rule is the hardest for other rules to match.
fn shadowing_rules(rule: &Rule, earlier: &[Rule]) -> Vec<String> {
    let candidates: Vec<&Rule> =
        earlier.iter().filter(|e| e.covers_tables(rule) && e.overlaps(rule)).collect();
    let cell_starts = |range: fn(&Rule) -> DurationRange| {
        let own = range(rule);
        let mut starts: BTreeSet<u64> =
            candidates.iter().flat_map(|e| [range(e).from_us, range(e).below_us]).collect();
        starts.insert(own.from_us);
        starts.retain(|&at| own.contains(at));
        starts
    };
    let name_cells = |names: fn(&Rule) -> &BTreeSet<String>| {
        // `None` stands for every name that no rule names.
        let own = names(rule);
        let named = candidates.iter().flat_map(|e| names(e).iter()).map(|n| Some(n.as_str()));
        let cells: BTreeSet<Option<&str>> = match own.is_empty() {
            true => named.chain([None]).collect(),
            false => own.iter().map(|n| Some(n.as_str())).collect(),
        };
        cells
    };
    let allows = |names: &BTreeSet<String>, name: Option<&str>| {
        names.is_empty() || name.is_some_and(|n| names.contains(n))
    };
    let costs = cell_starts(|r| r.cost);
    let tails = cell_starts(|r| r.tail);
    let users = name_cells(|r| &r.users);
    let databases = name_cells(|r| &r.databases);
    if costs.len() * tails.len() * users.len() * databases.len() > MAX_CELLS {
        return Vec::new();
    }
    // The 95th percentile is never below the median, so tail cells that end at or below the cost are skipped.
    let tail_end = |tail: u64| tails.range(tail + 1..).next().copied().unwrap_or(rule.tail.below_us);
    let mut shadowing = BTreeSet::new();
    for write in [false, true].into_iter().filter(|&w| if w { rule.writes } else { rule.reads }) {
        for &cost in &costs {
            for &tail in tails.iter().filter(|&&t| tail_end(t) > cost) {
                for &user in &users {
                    for &database in &databases {
                        let first_match = candidates.iter().position(|e| {
                            (if write { e.writes } else { e.reads })
                                && e.cost.contains(cost)
                                && e.tail.contains(tail)
                                && allows(&e.users, user)
                                && allows(&e.databases, database)
                        });
                        match first_match {
                            Some(candidate) => drop(shadowing.insert(candidate)),
                            None => return Vec::new(),
                        }
                    }
                }
            }
        }
    }
    shadowing.into_iter().map(|i| candidates[i].name.clone()).collect()
}
