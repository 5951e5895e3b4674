//! The scan over the tokens of a shape: the effect as the words, calls and operators show it, without a
//! grammar, so that no misread grammar can hide a write. It must never take a word that it does not know for
//! a harmless one.

use crate::analysis::{Analysis, Effect, TransactionControl, Unsupported};
use crate::functions::{FunctionKind, Functions};
use crate::lex::{Token, tokens};

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

/// The scan over the tokens: the analyze who knows no grammar, and so cannot be misled by one.
pub(crate) struct Scan<'f> {
    functions: &'f Functions,
    pub analysis: Analysis,
    /// Something other than a query or a change of rows.
    pub utility: bool,
    /// The deepest nesting of parentheses.
    pub deepest: usize,
    /// Operators and joining words of the statement that has the most.
    pub links: usize,
}

impl<'f> Scan<'f> {
    /// A scan that has seen nothing yet.
    pub fn new(functions: &'f Functions) -> Scan<'f> {
        Scan { functions, analysis: Analysis::new(), utility: false, deepest: 0, links: 0 }
    }

    /// Scans all tokens of a shape.
    pub fn run(&mut self, shape: &str) {
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
    pub fn heads(&mut self, shape: &str) {
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
                    _ if second == "prepared" => TransactionControl::Within,
                    "begin" | "start" => TransactionControl::Begin,
                    "rollback" if to => TransactionControl::Within,
                    "commit" | "end" | "abort" | "rollback" | "prepare" => TransactionControl::End,
                    _ => TransactionControl::Within,
                };
                // Transactions outrank what else can't be carried, and the last one counts.
                let known = matches!(self.analysis.unsupported, Some(Unsupported::Transaction(_)));
                if !known || control != TransactionControl::Within {
                    self.analysis.unsupported = Some(Unsupported::Transaction(control));
                }
                self.analysis
                    .raise(Effect::Session, format!("{} belongs to a transaction", first.to_uppercase()));
                false
            }
            _ if SESSION.contains(&first) => {
                self.analysis.unsupported = self.analysis.unsupported.or(Some(Unsupported::Session));
                self.analysis
                    .raise(Effect::Session, format!("{} belongs to a session", first.to_uppercase()));
                false
            }
            "create" if words.iter().any(|w| ["temp", "temporary", "local"].contains(w)) => {
                self.analysis.raise(Effect::Session, "what is temporary belongs to a session");
                self.utility = true;
                false
            }
            "copy" => {
                self.analysis.unsupported = self.analysis.unsupported.or(Some(Unsupported::Copy));
                self.analysis.raise(Effect::Write, "COPY has a data stream, and may write");
                false
            }
            "insert" | "update" | "delete" | "merge" => {
                self.analysis.raise(Effect::Write, format!("{} changes rows", first.to_uppercase()));
                true
            }
            _ if READING.contains(&first) => true,
            _ => {
                self.utility = true;
                let what: String = first.chars().take(40).collect();
                self.analysis
                    .raise(Effect::Write, format!("{} is not known to be a query", what.to_uppercase()));
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
                self.analysis.unsupported = self.analysis.unsupported.or(Some(Unsupported::Session));
                self.analysis.raise(Effect::Session, format!("{} belongs to a session", run.to_uppercase()));
            }
            if (1..tokens.len()).any(|i| ["create", "refresh"].contains(&word(i))) {
                self.analysis.raise(Effect::Write, "what is explained creates something");
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
                    self.analysis.raise(Effect::Write, format!("the operator {text} is not known"));
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
                self.analysis.raise(Effect::Write, "it locks the rows that it reads");
            }
            "into" if matches!(next(1), "temp" | "temporary" | "local") => {
                self.analysis.raise(Effect::Session, "what is temporary belongs to a session");
            }
            "operator" if next(1) == "(" => {
                self.analysis.raise(Effect::Write, "OPERATOR() may name anybody's")
            }
            "uescape" => self.analysis.raise(Effect::Write, "UESCAPE is not read"),
            "tablesample" if !matches!(next(1), "system" | "bernoulli") => {
                self.analysis.raise(Effect::Write, "the sampling method is not known");
            }
            _ if CHANGING.contains(&text) && !explained => {
                let what = text.to_uppercase();
                self.analysis.raise(Effect::Write, format!("{what} stands in it"));
            }
            _ => {}
        }
        self.mention(tokens, i);
    }

    /// Names that operators listed as having effects.
    fn mention(&mut self, tokens: &[(Token, &str)], i: usize) {
        if !self.functions.any_with_effects() {
            return;
        }
        let whole = dotted(tokens, i).join(".");
        if self.functions.has_effects(bare(tokens[i].1)) || self.functions.has_effects(&whole) {
            self.analysis.raise(Effect::Write, format!("{whole} is listed as having effects"));
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
        match self.functions.kind(&parts) {
            Some(FunctionKind::SideEffectFree | FunctionKind::Aggregate) => {}
            Some(FunctionKind::Session) => {
                let what = parts.join(".");
                self.analysis.raise(Effect::Session, format!("{what}() belongs to a session"));
            }
            None => {
                let what: String = parts.join(".").chars().take(80).collect();
                self.analysis.raise(Effect::Write, format!("{what}() is not known to be free of effects"));
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
