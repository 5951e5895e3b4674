//! Rules: which statements get which class, deadline and group. It owns the order of the rules, what they match
//! and what is wrong with them as a whole. It must never send a write to a class that only reads, and never
//! guess where no rule matches.

use crate::hash::fnv1a;
use sillfold_sql::{Analysis, Effect, literal_text};
use std::collections::{BTreeMap, BTreeSet};

/// A span of service times, in microseconds: from the first, below the second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DurationRange {
    /// The smallest that is in it.
    pub from_us: u64,
    /// The smallest beyond it.
    pub below_us: u64,
}

impl Default for DurationRange {
    fn default() -> DurationRange {
        DurationRange { from_us: 0, below_us: u64::MAX }
    }
}

impl DurationRange {
    fn holds(&self, us: u64) -> bool {
        (self.from_us..self.below_us).contains(&us)
    }
    fn covers(&self, other: &DurationRange) -> bool {
        self.from_us <= other.from_us && other.below_us <= self.below_us
    }
    fn meets(&self, other: &DurationRange) -> bool {
        self.from_us.max(other.from_us) < self.below_us.min(other.below_us)
    }
}

/// Names of tables: one, or all of a schema as `schema.*`. `public` goes without saying.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TablePattern(String);

impl TablePattern {
    /// A pattern as operators write it.
    pub fn new(text: &str) -> TablePattern {
        TablePattern(bare(text).to_string())
    }
    fn holds(&self, table: &str) -> bool {
        match self.0.strip_suffix('*') {
            Some(schema) => bare(table).strip_prefix(schema).is_some_and(|rest| !rest.contains('.')),
            None => bare(table) == self.0,
        }
    }
    fn covers(&self, other: &TablePattern) -> bool {
        self == other || (!other.0.ends_with('*') && self.holds(&other.0))
    }
}

fn bare(table: &str) -> &str {
    table.strip_prefix("public.").unwrap_or(table)
}

/// Where a statement's group comes from.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupSelector {
    /// Always this one.
    Constant(u32),
    /// That of its tables, which all have to have the same.
    ByTable(Vec<(TablePattern, u32)>),
    /// By rendezvous hash of the literal that this column is equal to, among these.
    ByKey {
        /// The column's bare name.
        column: String,
        /// The groups, in any order.
        groups: Vec<u32>,
    },
}

/// What a rule asks of a statement, and what it gives. An empty list asks nothing.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// Its name in messages.
    pub name: String,
    /// Whether reads match, and writes.
    pub reads: bool,
    /// Whether writes match.
    pub writes: bool,
    /// All tables of the statement are among these, and it has some.
    pub tables: Vec<TablePattern>,
    /// Its usual service time is within this.
    pub cost: DurationRange,
    /// Its 95th percentile is within this.
    pub tail: DurationRange,
    /// Whose statements match.
    pub users: BTreeSet<String>,
    /// In which databases.
    pub databases: BTreeSet<String>,
    /// The class that it gives, by name.
    pub class: String,
    /// How long the client waits, in milliseconds.
    pub deadline_ms: u64,
    /// The group that it gives.
    pub group: GroupSelector,
}

/// What a rule is asked about.
#[derive(Clone, Copy, Debug)]
pub struct StatementFacts<'a> {
    /// What the shape says.
    pub analysis: &'a Analysis,
    /// How many statements the text holds.
    pub statement_count: usize,
    /// Its usual service time and its 95th percentile, in microseconds.
    pub p50_us: u64,
    /// The 95th percentile.
    pub p95_us: u64,
    /// Who asks.
    pub user: &'a str,
    /// In which database.
    pub database: &'a str,
}

impl StatementFacts<'_> {
    /// What counts for routing: several statements count as a write, since only the primary may have them all.
    pub fn effect(&self) -> Effect {
        if self.statement_count > 1 { self.analysis.effect.max(Effect::Write) } else { self.analysis.effect }
    }
}

/// Why a statement has no route; the text is what its client is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupError(pub String);

impl Rule {
    /// Whether this rule takes the statement.
    pub fn matches(&self, f: &StatementFacts) -> bool {
        let effect = match f.effect() {
            Effect::Read => self.reads,
            Effect::Write => self.writes,
            Effect::Session | Effect::Invalid => false,
        };
        let among = |set: &BTreeSet<String>, name: &str| set.is_empty() || set.contains(name);
        effect
            && self.cost.holds(f.p50_us)
            && self.tail.holds(f.p95_us)
            && among(&self.users, f.user)
            && among(&self.databases, f.database)
            && self.takes(f.analysis.tables.iter().map(|t| &**t))
    }

    fn takes<'t>(&self, tables: impl Iterator<Item = &'t str>) -> bool {
        if self.tables.is_empty() {
            return true;
        }
        let mut some = false;
        let all = tables.inspect(|_| some = true).all(|t| self.tables.iter().any(|p| p.holds(t)));
        all && some
    }

    /// The group of a statement that matches; `literal` gives the text of a slot, and whether it stands for
    /// several.
    pub fn group<'t>(
        &self, facts: &StatementFacts, literal: impl Fn(u16) -> Option<(&'t str, bool)>,
    ) -> Result<u32, GroupError> {
        let analysis = facts.analysis;
        match &self.group {
            GroupSelector::Constant(group) => Ok(*group),
            GroupSelector::ByTable(groups) => {
                let of = |t: &str| groups.iter().find(|(p, _)| p.holds(t)).map(|g| g.1);
                let mut found = None;
                for table in &analysis.tables {
                    let group = of(table).ok_or_else(|| self.no(format!("table {table} has no group")))?;
                    if found.is_some_and(|f| f != group) {
                        return Err(self.no(format!("its tables are in several groups, {table} in {group}")));
                    }
                    found = Some(group);
                }
                found.ok_or_else(|| self.no("it names no table, and tables give the group".into()))
            }
            // Guards against a second statement, of another key or of none, following the first one's.
            GroupSelector::ByKey { .. } if facts.statement_count > 1 => {
                Err(self.no("several statements have no common key".into()))
            }
            GroupSelector::ByKey { column, groups } => {
                let mut found: Option<String> = None;
                for key in analysis.keys.iter().filter(|k| *k.column == **column) {
                    let (text, many) =
                        literal(key.literal_index).ok_or_else(|| self.no("a literal is lost".into()))?;
                    if many {
                        return Err(self.no(format!("{column} is equal to several literals")));
                    }
                    let text = literal_text(text)
                        .ok_or_else(|| self.no(format!("{column} has a literal that is not plain")))?;
                    let text = if key.negative { format!("-{text}") } else { text };
                    if found.as_ref().is_some_and(|f| *f != text) {
                        return Err(self.no(format!("{column} is equal to two literals")));
                    }
                    found = Some(text);
                }
                let key = found.ok_or_else(|| self.no(format!("{column} is equal to no literal")))?;
                rendezvous(&key, groups).ok_or_else(|| self.no("it names no groups".into()))
            }
        }
    }

    fn no(&self, what: String) -> GroupError {
        GroupError(format!("rule {:?} takes this statement, and gives no group: {what}", self.name))
    }

    /// Whether this rule takes every statement that the other takes.
    fn covers(&self, other: &Rule) -> bool {
        (self.reads || !other.reads)
            && (self.writes || !other.writes)
            && self.cost.covers(&other.cost)
            && self.tail.covers(&other.tail)
            && covers(&self.users, &other.users)
            && covers(&self.databases, &other.databases)
            && self.covers_tables(other)
    }

    fn covers_tables(&self, other: &Rule) -> bool {
        let all = |p: &TablePattern| self.tables.iter().any(|mine| mine.covers(p));
        self.tables.is_empty() || (!other.tables.is_empty() && other.tables.iter().all(all))
    }

    /// Whether some statement may be taken by both.
    fn meets(&self, other: &Rule) -> bool {
        let share = |a: &BTreeSet<String>, b: &BTreeSet<String>| {
            a.is_empty() || b.is_empty() || a.intersection(b).next().is_some()
        };
        let tables = self.tables.is_empty()
            || other.tables.is_empty()
            || (self.tables.iter()).any(|a| other.tables.iter().any(|b| a.covers(b) || b.covers(a)));
        ((self.reads && other.reads) || (self.writes && other.writes))
            && self.cost.meets(&other.cost)
            && self.tail.meets(&other.tail)
            && share(&self.users, &other.users)
            && share(&self.databases, &other.databases)
            && tables
    }

    fn gives_the_same(&self, other: &Rule) -> bool {
        (&self.class, self.deadline_ms, &self.group) == (&other.class, other.deadline_ms, &other.group)
    }
}

fn covers(mine: &BTreeSet<String>, other: &BTreeSet<String>) -> bool {
    mine.is_empty() || (!other.is_empty() && other.is_subset(mine))
}

/// The group with the highest lot for this key: when one is added or taken out, only its own keys move.
/// Thaler and Ravishankar, "A name-based mapping scheme for rendezvous".
pub fn rendezvous(key: &str, among: &[u32]) -> Option<u32> {
    let hash = fnv1a(key);
    // The finalizer of splitmix64: near groups and keys get unlike lots.
    let lot = |group: u32| {
        let mut z = hash ^ u64::from(group).wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    };
    among.iter().copied().max_by_key(|&g| (lot(g), g))
}

/// What is wrong with the rules as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RuleFault {
    /// No statement can match it: why.
    Unreachable(String, String),
    /// Earlier rules take all that it could: which.
    Shadowed(String, Vec<String>),
    /// Two rules take some of the same statements and not all, and give different routes; the first wins.
    Overlap(String, String),
}

impl RuleFault {
    /// Whether the rules can't be meant so. An overlap may be.
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

/// What a class can do, by its name: whether it takes writes. Nothing where classes are not known.
pub type Classes = BTreeMap<String, bool>;

/// Cells that are looked at for one rule. Guards against a file whose check takes minutes; beyond it a shadowed
/// rule goes unnoticed.
const MOST_CELLS: usize = 200_000;

/// Looks for rules that cannot be meant as they stand.
pub fn find_faults(rules: &[Rule], classes: Option<&Classes>) -> Vec<RuleFault> {
    let mut out = Vec::new();
    for (i, rule) in rules.iter().enumerate() {
        if let Some(why) = impossible(rule, classes) {
            out.push(RuleFault::Unreachable(rule.name.clone(), why));
            continue;
        }
        let by = shadows(rule, &rules[..i]);
        if !by.is_empty() {
            out.push(RuleFault::Shadowed(rule.name.clone(), by));
            continue;
        }
        for earlier in &rules[..i] {
            let nested = earlier.covers(rule) || rule.covers(earlier);
            if earlier.meets(rule) && !nested && !earlier.gives_the_same(rule) {
                out.push(RuleFault::Overlap(earlier.name.clone(), rule.name.clone()));
            }
        }
    }
    out
}

fn impossible(rule: &Rule, classes: Option<&Classes>) -> Option<String> {
    for (key, band) in [("cost_ms", rule.cost), ("tail_ms", rule.tail)] {
        if band.from_us >= band.below_us {
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
    let writes = match classes?.get(&rule.class) {
        None => return Some(format!("there is no class {:?}", rule.class)),
        Some(writes) => *writes,
    };
    (rule.writes && !writes).then(|| format!("it takes writes, and class {:?} only reads", rule.class))
}

/// The earlier rules that together take all that this one could; none if some statement is left for it.
///
/// Each condition but that on tables cuts its values into cells at the bounds that any rule names; a rule takes
/// a cell whole or not at all. Of tables, the statement with all that the rule names is the hardest for others.
fn shadows(rule: &Rule, earlier: &[Rule]) -> Vec<String> {
    let near: Vec<&Rule> = earlier.iter().filter(|e| e.covers_tables(rule) && e.meets(rule)).collect();
    let starts = |band: fn(&Rule) -> DurationRange| {
        let own = band(rule);
        let mut starts: BTreeSet<u64> =
            near.iter().flat_map(|e| [band(e).from_us, band(e).below_us]).collect();
        starts.insert(own.from_us);
        starts.retain(|&at| own.holds(at));
        starts
    };
    let names = |set: fn(&Rule) -> &BTreeSet<String>| {
        // Nothing stands for anybody who is not named.
        let own = set(rule);
        let named = near.iter().flat_map(|e| set(e).iter()).map(|n| Some(n.as_str()));
        let all: BTreeSet<Option<&str>> = match own.is_empty() {
            true => named.chain([None]).collect(),
            false => own.iter().map(|n| Some(n.as_str())).collect(),
        };
        all
    };
    let holds =
        |set: &BTreeSet<String>, name: Option<&str>| set.is_empty() || name.is_some_and(|n| set.contains(n));
    let (costs, tails) = (starts(|r| r.cost), starts(|r| r.tail));
    let (users, databases) = (names(|r| &r.users), names(|r| &r.databases));
    if costs.len() * tails.len() * users.len() * databases.len() > MOST_CELLS {
        return Vec::new();
    }
    // A tail is never shorter than the usual time.
    let ends = |tail: u64| tails.range(tail + 1..).next().copied().unwrap_or(rule.tail.below_us);
    let mut by = BTreeSet::new();
    for write in [false, true].into_iter().filter(|&w| if w { rule.writes } else { rule.reads }) {
        for &cost in &costs {
            for &tail in tails.iter().filter(|&&t| ends(t) > cost) {
                for &user in &users {
                    for &database in &databases {
                        let taker = near.iter().position(|e| {
                            (if write { e.writes } else { e.reads })
                                && e.cost.holds(cost)
                                && e.tail.holds(tail)
                                && holds(&e.users, user)
                                && holds(&e.databases, database)
                        });
                        match taker {
                            Some(taker) => drop(by.insert(taker)),
                            None => return Vec::new(),
                        }
                    }
                }
            }
        }
    }
    by.into_iter().map(|i| near[i].name.clone()).collect()
}
