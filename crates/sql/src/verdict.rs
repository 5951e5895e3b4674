//! The verdict on a shape, and what else routing needs to know of it. It owns both judges, the walk over the
//! syntax tree and the scan over the tokens; of two opinions the stricter counts. It must never see the
//! statement itself: a verdict is a function of the shape and of the lists of functions, of nothing else.

use crate::functions::{Functions, Known};
use crate::lex::{Token, tokens};
use crate::tree::{Features, Tree};
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
pub enum Control {
    /// It begins one.
    Begins,
    /// It ends one.
    Ends,
    /// It means one that is open, or prepared elsewhere.
    Within,
}

/// What this side cannot carry, whatever the rules say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Uncarried {
    /// BEGIN and what belongs to it; of several, the last that begins or ends one.
    Transaction(Control),
    /// State of a session.
    Session,
    /// The data stream of COPY.
    Copy,
}

/// Bounds on the work for one shape; beyond them it is a write.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The longest shape that is parsed, in bytes.
    pub parsed: usize,
    /// The deepest nesting of parentheses that is parsed.
    pub depth: usize,
    /// The most operators and joining words in one statement: each may be a level of the tree.
    pub links: usize,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { parsed: 16 * 1024, depth: 24, links: 200 }
    }
}

/// A column that is set equal to a literal, by the literal's place among the shape's placeholders.
#[derive(Clone, Debug, PartialEq)]
pub struct Key {
    /// The column's bare name.
    pub column: Box<str>,
    /// Which placeholder.
    pub slot: u16,
    /// Whether the literal is negative.
    pub negative: bool,
}

/// All that is known of a shape.
#[derive(Clone, Debug, PartialEq)]
pub struct Analysis {
    /// What running it does.
    pub effect: Effect,
    /// Why, for whoever asks.
    pub why: Cow<'static, str>,
    /// What stands against carrying it at all.
    pub uncarried: Option<Uncarried>,
    /// Its tables, as written, each once.
    pub tables: Vec<Box<str>>,
    /// Columns that every row concerned has equal to a literal.
    pub keys: Vec<Key>,
    /// What its syntax tree shows of its cost.
    pub features: Features,
}

impl Analysis {
    fn of(effect: Effect, why: impl Into<Cow<'static, str>>) -> Analysis {
        Analysis {
            effect,
            why: why.into(),
            uncarried: None,
            tables: Vec::new(),
            keys: Vec::new(),
            features: Features::default(),
        }
    }

    /// Bytes on the heap.
    pub fn heap(&self) -> usize {
        let why = if let Cow::Owned(text) = &self.why { text.capacity() } else { 0 };
        let tables: usize = self.tables.iter().map(|t| t.len()).sum();
        let keys: usize = self.keys.iter().map(|k| k.column.len()).sum();
        why + tables
            + keys
            + self.tables.capacity() * size_of::<Box<str>>()
            + self.keys.capacity() * size_of::<Key>()
    }

    /// Takes the stricter of two opinions.
    fn stricter(&mut self, effect: Effect, why: impl Into<Cow<'static, str>>) {
        if effect > self.effect {
            (self.effect, self.why) = (effect, why.into());
        }
    }
}

/// Words with which a statement that only reads may begin.
const READING: [&str; 6] = ["select", "values", "table", "with", "show", "explain"];
/// First words of statements that belong to a transaction, and to the session beyond it.
const TRANSACTION: [&str; 9] =
    ["begin", "start", "commit", "end", "rollback", "abort", "savepoint", "release", "lock"];
const SESSION: [&str; 13] = [
    "set",
    "reset",
    "discard",
    "prepare",
    "execute",
    "deallocate",
    "listen",
    "unlisten",
    "declare",
    "fetch",
    "move",
    "close",
    "load",
];
/// Words that change data wherever they stand in a query.
const CHANGING: [&str; 5] = ["insert", "update", "delete", "merge", "into"];
/// Words before a parenthesis that are no calls.
const NO_CALL: [&str; 64] = [
    "all",
    "and",
    "any",
    "array",
    "as",
    "asymmetric",
    "between",
    "bit",
    "bpchar",
    "by",
    "case",
    "cast",
    "char",
    "character",
    "collate",
    "cube",
    "dec",
    "decimal",
    "distinct",
    "else",
    "except",
    "exists",
    "explain",
    "filter",
    "float",
    "from",
    "group",
    "having",
    "ilike",
    "in",
    "intersect",
    "interval",
    "is",
    "join",
    "lateral",
    "like",
    "limit",
    "materialized",
    "not",
    "numeric",
    "offset",
    "on",
    "only",
    "or",
    "over",
    "rollup",
    "select",
    "sets",
    "similar",
    "some",
    "symmetric",
    "then",
    "time",
    "timestamp",
    "timestamptz",
    "to",
    "union",
    "using",
    "values",
    "varbit",
    "varchar",
    "varying",
    "when",
    "where",
];
/// Built-in operators; others may be anybody's, and call anything.
const OPERATORS: [&str; 66] = [
    "+", "-", "*", "/", "%", "^", "|/", "||/", "@", "&", "|", "#", "~", "<<", ">>", "<", ">", "<=", ">=",
    "=", "<>", "!=", "||", "~~", "~~*", "!~~", "!~~*", "!~", "~*", "!~*", "^@", "&&", "@>", "<@", "->",
    "->>", "#>", "#>>", "?", "?|", "?&", "#-", "@?", "@@", "@@@", "!!", "<->", "<<=", ">>=", "-|-", "&<",
    "&>", "<<|", "|>>", "&<|", "|&>", "<^", ">^", "?#", "?-", "?-|", "?||", "~=", "@-@", "##", "=>",
];

/// Judges a shape.
pub fn judge(shape: &str, functions: &Functions, bounds: &Bounds) -> Analysis {
    let mut scan = Scan::new(functions);
    let mut too_deep = false;
    if shape.len() <= bounds.parsed {
        scan.run(shape);
    } else {
        // Its first words still tell what it can't be carried as; all else does not matter.
        scan.heads(shape);
        scan.verdict(Effect::Write, "it is longer than what is read");
    }
    if scan.deepest > bounds.depth || scan.links > bounds.links {
        too_deep = true;
        scan.verdict(Effect::Write, "it is nested more deeply than what is read");
    }
    let mut analysis = Analysis::of(scan.effect, scan.why);
    analysis.uncarried = scan.uncarried;
    // Utility statements are told by their first words alone; the parser knows few of them.
    let parse = shape.len() <= bounds.parsed && !too_deep && scan.uncarried.is_none() && !scan.utility;
    if parse {
        match Tree::read(shape, functions) {
            Ok(tree) => {
                (analysis.tables, analysis.keys, analysis.features) = (tree.tables, tree.keys, tree.features);
                analysis.stricter(tree.effect, tree.why);
            }
            Err(what) => analysis.stricter(Effect::Write, format!("it does not parse: {what}")),
        }
    } else {
        // Whatever the tokens say: what only one judge has seen is no read.
        analysis.stricter(Effect::Write, "it is not parsed");
    }
    if analysis.effect == Effect::Session && analysis.uncarried.is_none() {
        analysis.uncarried = Some(Uncarried::Session);
    }
    if analysis.why.is_empty() {
        analysis.why = "a query of known functions only".into();
    }
    analysis
}

/// The scan over the tokens: the judge who knows no grammar, and so cannot be misled by one.
struct Scan<'f> {
    functions: &'f Functions,
    effect: Effect,
    why: Cow<'static, str>,
    uncarried: Option<Uncarried>,
    /// Something other than a query or a change of rows.
    utility: bool,
    deepest: usize,
    links: usize,
}

impl<'f> Scan<'f> {
    fn new(functions: &'f Functions) -> Scan<'f> {
        let (effect, why) = (Effect::Read, Cow::Borrowed(""));
        Scan { functions, effect, why, uncarried: None, utility: false, deepest: 0, links: 0 }
    }

    fn verdict(&mut self, effect: Effect, why: impl Into<Cow<'static, str>>) {
        if effect > self.effect {
            (self.effect, self.why) = (effect, why.into());
        }
    }

    fn run(&mut self, shape: &str) {
        let tokens: Vec<(Token, &str)> = tokens(shape).collect();
        let mut most = 0;
        for statement in tokens.split(|t| t.0 == Token::Semicolon) {
            self.links = 0;
            self.statement(statement);
            most = most.max(self.links);
        }
        self.links = most;
    }

    /// Only the first words of each statement.
    fn heads(&mut self, shape: &str) {
        let tokens: Vec<(Token, &str)> = tokens(shape).collect();
        for statement in tokens.split(|t| t.0 == Token::Semicolon) {
            self.head(statement);
        }
    }

    /// What the first words alone decide; whether the rest may still be a query or a change of rows.
    fn head(&mut self, statement: &[(Token, &str)]) -> bool {
        let begin = statement.iter().position(|t| t.0 != Token::Open).unwrap_or(statement.len());
        let words: Vec<&str> = statement[begin..].iter().take(4).map(|t| t.1).collect();
        let (first, second) = (words.first().copied().unwrap_or(""), words.get(1).copied().unwrap_or(""));
        match first {
            _ if TRANSACTION.contains(&first) || (first, second) == ("prepare", "transaction") => {
                let to = statement[begin..].iter().any(|t| (t.0, t.1) == (Token::Word, "to"));
                let control = match first {
                    _ if second == "prepared" => Control::Within,
                    "begin" | "start" => Control::Begins,
                    "rollback" if to => Control::Within,
                    "commit" | "end" | "abort" | "rollback" | "prepare" => Control::Ends,
                    _ => Control::Within,
                };
                // Transactions outrank what else can't be carried, and the last one counts.
                let known = matches!(self.uncarried, Some(Uncarried::Transaction(_)));
                if !known || control != Control::Within {
                    self.uncarried = Some(Uncarried::Transaction(control));
                }
                self.verdict(Effect::Session, format!("{} belongs to a transaction", first.to_uppercase()));
                false
            }
            _ if SESSION.contains(&first) => {
                self.uncarried = self.uncarried.or(Some(Uncarried::Session));
                self.verdict(Effect::Session, format!("{} belongs to a session", first.to_uppercase()));
                false
            }
            "create" if words.iter().any(|w| ["temp", "temporary", "local"].contains(w)) => {
                self.verdict(Effect::Session, "what is temporary belongs to a session");
                self.utility = true;
                false
            }
            "copy" => {
                self.uncarried = self.uncarried.or(Some(Uncarried::Copy));
                self.verdict(Effect::Write, "COPY has a data stream, and may write");
                false
            }
            "insert" | "update" | "delete" | "merge" => {
                self.verdict(Effect::Write, format!("{} changes rows", first.to_uppercase()));
                true
            }
            _ if READING.contains(&first) => true,
            _ => {
                self.utility = true;
                let what: String = first.chars().take(40).collect();
                self.verdict(Effect::Write, format!("{} is not known to be a query", what.to_uppercase()));
                false
            }
        }
    }

    fn statement(&mut self, tokens: &[(Token, &str)]) {
        if !self.head(tokens) {
            return;
        }
        let first = tokens.iter().find(|t| t.0 != Token::Open).map_or("", |t| t.1);
        let word = |i: usize| tokens.get(i).filter(|t| t.0 == Token::Word).map_or("", |t| t.1);
        let analyzes = |t: &(Token, &str)| matches!(bare(t.1), "analyze" | "analyse");
        let explained = first == "explain" && !tokens.iter().any(analyzes);
        if first == "explain" {
            let run = (1..tokens.len()).map(word).find(|w| ["execute", "prepare", "declare"].contains(w));
            if let Some(run) = run {
                self.uncarried = self.uncarried.or(Some(Uncarried::Session));
                self.verdict(Effect::Session, format!("{} belongs to a session", run.to_uppercase()));
            }
            if (1..tokens.len()).any(|i| ["create", "refresh"].contains(&word(i))) {
                self.verdict(Effect::Write, "what is explained creates something");
            }
        }
        // For each open parenthesis, whether an expression and not an alias may follow its end.
        let mut open: Vec<bool> = Vec::new();
        let mut expression_follows = false;
        for (i, &(token, text)) in tokens.iter().enumerate() {
            match token {
                Token::Open | Token::OpenBracket => {
                    if token == Token::Open {
                        self.call(tokens, i, expression_follows);
                    }
                    open.push(i >= 2 && word(i - 1) == "on" && word(i - 2) == "distinct");
                    self.deepest = self.deepest.max(open.len());
                }
                Token::Close | Token::CloseBracket => {
                    expression_follows = open.pop().unwrap_or(true);
                    continue;
                }
                Token::Operator if !OPERATORS.contains(&text) => {
                    self.verdict(Effect::Write, format!("the operator {text} is not known"));
                }
                Token::Operator | Token::Double => self.links += 1,
                Token::Word => self.word(tokens, i, explained),
                Token::Quoted | Token::UnicodeQuoted => self.mention(tokens, i),
                _ => {}
            }
            if !matches!(token, Token::Word | Token::Quoted | Token::UnicodeQuoted | Token::Dot) {
                expression_follows = false;
            }
        }
    }

    fn word(&mut self, tokens: &[(Token, &str)], i: usize, explained: bool) {
        let text = tokens[i].1;
        let next = |n: usize| tokens.get(i + n).map_or("", |t| t.1);
        // A column of such a name: nothing that changes data stands behind a point.
        let column = i > 0 && tokens[i - 1].0 == Token::Dot;
        match text {
            _ if column => {}
            "and" | "or" | "not" | "union" | "except" | "intersect" | "join" | "is" | "like" | "ilike"
            | "in" | "between" | "similar" | "case" | "when" | "collate" | "at" | "isnull" | "notnull" => {
                self.links += 1;
            }
            "for" if matches!(next(1), "update" | "share" | "no" | "key") && !explained => {
                self.verdict(Effect::Write, "it locks the rows that it reads");
            }
            "into" if matches!(next(1), "temp" | "temporary" | "local") => {
                self.verdict(Effect::Session, "what is temporary belongs to a session");
            }
            "operator" if next(1) == "(" => self.verdict(Effect::Write, "OPERATOR() may name anybody's"),
            "uescape" => self.verdict(Effect::Write, "UESCAPE is not read"),
            "tablesample" if !matches!(next(1), "system" | "bernoulli") => {
                self.verdict(Effect::Write, "the sampling method is not known");
            }
            _ if CHANGING.contains(&text) && !explained => {
                let what = text.to_uppercase();
                self.verdict(Effect::Write, format!("{what} stands in it"));
            }
            _ => {}
        }
        self.mention(tokens, i);
    }

    /// Names that operators listed as having effects.
    fn mention(&mut self, tokens: &[(Token, &str)], i: usize) {
        if !self.functions.any_effects() {
            return;
        }
        let whole = dotted(tokens, i).join(".");
        if self.functions.has_effect(bare(tokens[i].1)) || self.functions.has_effect(&whole) {
            self.verdict(Effect::Write, format!("{whole} is listed as having effects"));
        }
    }

    /// What stands before an open parenthesis: a call of a known function, or no call.
    fn call(&mut self, tokens: &[(Token, &str)], open: usize, expression_follows: bool) {
        let Some(i) = open.checked_sub(1) else { return };
        let (token, text) = tokens[i];
        let name = matches!(token, Token::Quoted | Token::UnicodeQuoted) || token == Token::Word;
        if !name {
            return;
        }
        let parts = dotted(tokens, i);
        let begin = i + 2 - parts.len() * 2;
        let (before, before_text) = begin.checked_sub(1).map_or((Token::Other, ""), |b| tokens[b]);
        let keyword = token == Token::Word && parts.len() == 1;
        // Some are no reserved words, and a function may have their name: only where the grammar has them.
        let placed = match text {
            "filter" | "over" => before == Token::Close || before_text == "nulls",
            "sets" => before_text == "grouping",
            "by" => ["group", "order", "partition"].contains(&before_text),
            "explain" => begin == 0,
            "materialized" => ["as", "not"].contains(&before_text),
            "varying" => ["character", "char", "bit"].contains(&before_text),
            _ => true,
        };
        if keyword && placed && NO_CALL.contains(&text) {
            return;
        }
        let alias = match before {
            Token::Word => ["as", "recursive", "with", "tablesample"].contains(&before_text),
            // The length of a type.
            Token::Double => before_text == "::",
            Token::Close => !expression_follows,
            _ => false,
        };
        let common = self.is_common_table(tokens, open);
        if parts.len() == 1 && (alias || common) {
            return;
        }
        match self.functions.get(&parts) {
            Some(Known::Harmless | Known::Aggregate) => {}
            Some(Known::Session) => {
                let what = parts.join(".");
                self.verdict(Effect::Session, format!("{what}() belongs to a session"));
            }
            None => {
                let what: String = parts.join(".").chars().take(80).collect();
                self.verdict(Effect::Write, format!("{what}() is not known to be free of effects"));
            }
        }
    }

    /// Whether the names in these parentheses are the columns of a common table: `x (a, b) as (select`.
    /// A function's column definitions `f(x) as (a int` never begin with these words, which are reserved.
    fn is_common_table(&self, tokens: &[(Token, &str)], open: usize) -> bool {
        let Some(close) = tokens[open..].iter().take(64).position(|t| t.0 == Token::Close) else {
            return false;
        };
        let names = |t: &(Token, &str)| matches!(t.0, Token::Word | Token::Quoted | Token::Comma);
        let rest: Vec<&str> = tokens[open + close + 1..].iter().take(5).map(|t| t.1).collect();
        let rest = match rest.as_slice() {
            ["as", "not", "materialized", rest @ ..] | ["as", "materialized", rest @ ..] => rest,
            ["as", rest @ ..] => rest,
            _ => return false,
        };
        tokens[open + 1..open + close].iter().all(names)
            && matches!(rest, ["(", "select" | "with" | "table", ..])
    }
}

/// A name without its quotes.
fn bare(text: &str) -> &str {
    text.strip_prefix('"').and_then(|t| t.strip_suffix('"')).unwrap_or(text)
}

/// The parts of the dotted name that ends here, without quotes.
fn dotted(tokens: &[(Token, &str)], last: usize) -> Vec<String> {
    let part = |text: &str| bare(text).replace("\"\"", "\"");
    let mut parts = vec![part(tokens[last].1)];
    let mut i = last;
    // PostgreSQL knows four at most.
    while i >= 2
        && parts.len() < 5
        && tokens[i - 1].0 == Token::Dot
        && matches!(tokens[i - 2].0, Token::Word | Token::Quoted | Token::UnicodeQuoted)
    {
        i -= 2;
        parts.insert(0, part(tokens[i].1));
    }
    parts
}

impl crate::Reading {
    /// The verdict on the statement that was read last. Not only its shape's, which may be kept: a text that
    /// another setting of the server would cut otherwise is never a read.
    pub fn judge(&self, functions: &Functions, bounds: &Bounds) -> Analysis {
        self.unsure_of(judge(self.shape(), functions, bounds))
    }

    /// The same, for a shape's analysis that is known already.
    pub fn unsure_of(&self, mut analysis: Analysis) -> Analysis {
        if self.unsure() {
            analysis.stricter(Effect::Write, "another setting of the server would end a string elsewhere");
        }
        analysis
    }
}
