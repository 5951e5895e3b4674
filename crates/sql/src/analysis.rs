//! The result of analysing a shape: its effect, tables, keys and cost features. It holds the types that the
//! scan over the tokens and the walk over the syntax tree both fill; it knows neither of them.

use std::borrow::Cow;

/// What running a statement does, the milder before the stricter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Effect {
    /// Nothing: any member that is current enough may run it.
    Read,
    /// It may change data: only the primary.
    Write,
    /// It changes the session, or needs what was left there.
    Session,
    /// It is no statement.
    Invalid,
}

impl Effect {
    /// Its name, as operators write it.
    pub fn name(self) -> &'static str {
        match self {
            Effect::Read => "read",
            Effect::Write => "write",
            Effect::Session => "session",
            Effect::Invalid => "invalid",
        }
    }
}

/// What a text says of transactions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionControl {
    /// It begins one.
    Begin,
    /// It ends one.
    End,
    /// It means one that is open, or prepared elsewhere.
    Within,
}

/// What this side cannot carry, whatever the rules say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsupported {
    /// BEGIN and what belongs to it; of several, the last that begins or ends one.
    Transaction(TransactionControl),
    /// State of a session.
    Session,
    /// The data stream of COPY.
    Copy,
}

/// A column that is set equal to a literal, by the literal's place among the shape's placeholders.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyLiteral {
    /// The column's bare name.
    pub column: Box<str>,
    /// Which placeholder.
    pub literal_index: u16,
    /// Whether the literal is negative.
    pub negative: bool,
}

/// What a syntax tree shows of a statement's cost.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CostFeatures {
    /// Tables joined to the first of their query.
    pub joins: u16,
    /// Calls of aggregates, and GROUP BY clauses.
    pub aggregates: u16,
    /// ORDER BY, DISTINCT, and set operations that compare.
    pub sorts: u16,
    /// Queries within queries.
    pub subqueries: u16,
    /// Queries that read a table with no predicate.
    pub unfiltered: u16,
    /// Whether the outermost result has a LIMIT or is one row.
    pub limited: bool,
    /// Whether the outermost query or change finds its rows by a key's literal.
    pub keyed: bool,
}

/// All that is known of a shape.
#[derive(Clone, Debug, PartialEq)]
pub struct Analysis {
    /// What running it does.
    pub effect: Effect,
    /// Why, for whoever asks.
    pub reason: Cow<'static, str>,
    /// What stands against carrying it at all.
    pub unsupported: Option<Unsupported>,
    /// Its tables, as written, each once.
    pub tables: Vec<Box<str>>,
    /// Columns that every row concerned has equal to a literal.
    pub keys: Vec<KeyLiteral>,
    /// What its syntax tree shows of its cost.
    pub features: CostFeatures,
}

impl Analysis {
    /// A harmless statement of which nothing else is known yet.
    pub(crate) fn new() -> Analysis {
        Analysis {
            effect: Effect::Read,
            reason: Cow::Borrowed(""),
            unsupported: None,
            tables: Vec::new(),
            keys: Vec::new(),
            features: CostFeatures::default(),
        }
    }

    /// Bytes on the heap.
    pub fn heap_bytes(&self) -> usize {
        let why = if let Cow::Owned(text) = &self.reason { text.capacity() } else { 0 };
        let tables: usize = self.tables.iter().map(|t| t.len()).sum();
        let keys: usize = self.keys.iter().map(|k| k.column.len()).sum();
        why + tables
            + keys
            + self.tables.capacity() * size_of::<Box<str>>()
            + self.keys.capacity() * size_of::<KeyLiteral>()
    }

    /// Takes over an effect that is stricter than the present one, with its reason.
    pub(crate) fn raise(&mut self, effect: Effect, why: impl Into<Cow<'static, str>>) {
        if effect > self.effect {
            (self.effect, self.reason) = (effect, why.into());
        }
    }
}
