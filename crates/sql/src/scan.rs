//! The scan over the tokens of a shape. It determines the effect by words, calls and operators without a grammar, so that
//! no error in a grammar can hide a write. It must never take an unknown word for one without effects.

use crate::analysis::{Analysis, Effect, TransactionControl, Unsupported};
use crate::functions::{FunctionKind, Functions};
use crate::lex::{Token, tokens};
use std::borrow::Cow;

/// First words of statements that may be reads.
const QUERY_WORDS: [&str; 6] = ["select", "values", "table", "with", "show", "explain"];
/// First words of statements that belong to a transaction.
const TRANSACTION_WORDS: [&str; 9] =
    ["begin", "start", "commit", "end", "rollback", "abort", "savepoint", "release", "lock"];
/// First words of statements that use session state.
const SESSION_WORDS: [&str; 13] = [
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
/// Words that change data anywhere in a query.
const CHANGING_WORDS: [&str; 5] = ["insert", "update", "delete", "merge", "into"];
/// Words that are not a call if a parenthesis follows.
const NON_CALL_WORDS: [&str; 64] = [
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
/// Built-in operators. Any other may be user-defined and call any function.
const BUILTIN_OPERATORS: [&str; 66] = [
    "+", "-", "*", "/", "%", "^", "|/", "||/", "@", "&", "|", "#", "~", "<<", ">>", "<", ">", "<=", ">=",
    "=", "<>", "!=", "||", "~~", "~~*", "!~~", "!~~*", "!~", "~*", "!~*", "^@", "&&", "@>", "<@", "->",
    "->>", "#>", "#>>", "?", "?|", "?&", "#-", "@?", "@@", "@@@", "!!", "<->", "<<=", ">>=", "-|-", "&<",
    "&>", "<<|", "|>>", "&<|", "|&>", "<^", ">^", "?#", "?-", "?-|", "?||", "~=", "@-@", "##", "=>",
];

/// The scan over the tokens of a shape.
pub(crate) struct TokenScan<'f> {
    functions: &'f Functions,
    /// The effect and the unsupported feature found so far. The other fields stay empty.
    pub analysis: Analysis,
    /// Whether a statement is neither a query nor a change of rows.
    pub utility: bool,
    /// The deepest nesting of parentheses and brackets.
    pub max_depth: usize,
    /// Operators and joining words, in the statement that has the most.
    pub operators: usize,
    /// The tokens that were looked at, each as often as it was.
    pub steps: u64,
    /// Whether a statement stands behind the end of a transaction. Then no later one ends the transaction for the whole text,
    /// of which nothing would run.
    is_followed: bool,
}

/// The most tokens of a common table's list of columns.
const MAX_COLUMN_TOKENS: usize = 64;

/// The number of words by which a statement is told apart.
const FIRST_WORDS: usize = 4;

/// The first words of a statement, behind its opening parentheses.
#[derive(Default)]
struct FirstWords<'s> {
    words: [&'s str; FIRST_WORDS],
    count: usize,
    /// Whether the word TO stands in the statement.
    has_to: bool,
    /// Whether the schema of a session's temporary objects is named in the statement.
    has_temporary_schema: bool,
}

impl<'s> FirstWords<'s> {
    fn add(&mut self, token: Token, text: &'s str) {
        self.has_to |= token == Token::Word && text == "to";
        self.has_temporary_schema |= names_temporary_schema(token, text);
        let is_opening = self.count == 0 && token == Token::OpenParen;
        if !is_opening && self.count < FIRST_WORDS {
            self.words[self.count] = text;
            self.count += 1;
        }
    }

    fn words(&self) -> &[&'s str] {
        &self.words[..self.count]
    }
}

impl<'f> TokenScan<'f> {
    /// A scan before its first token.
    pub fn new(functions: &'f Functions) -> TokenScan<'f> {
        TokenScan {
            functions,
            analysis: Analysis::new(),
            utility: false,
            max_depth: 0,
            operators: 0,
            steps: 0,
            is_followed: false,
        }
    }

    /// Scans all tokens of a shape.
    pub fn run(&mut self, shape: &str) {
        let tokens: Vec<(Token, &str)> = tokens(shape).collect();
        let mut max_operators = 0;
        for statement in tokens.split(|t| t.0 == Token::Semicolon) {
            self.operators = 0;
            self.scan_statement(statement);
            max_operators = max_operators.max(self.operators);
        }
        self.operators = max_operators;
    }

    /// Scans only the first words of each statement. Holds no more of the shape than these.
    pub fn run_first_words(&mut self, shape: &str) {
        let mut words = FirstWords::default();
        for (token, text) in tokens(shape) {
            self.steps += 1;
            if token == Token::Semicolon {
                self.scan_first_words(&words);
                words = FirstWords::default();
            } else {
                words.add(token, text);
            }
        }
        self.scan_first_words(&words);
    }

    /// Scans the first words of a statement. Returns whether the statement may be a query or a change of rows, so that the
    /// rest matters.
    fn scan_first_words(&mut self, statement: &FirstWords<'_>) -> bool {
        let words = statement.words();
        let first = words.first().copied().unwrap_or("");
        let second = words.get(1).copied().unwrap_or("");
        if statement.has_temporary_schema {
            self.analysis.raise(Effect::Session, "what is temporary belongs to a session");
        }
        let is_transaction_control =
            TRANSACTION_WORDS.contains(&first) || (first, second) == ("prepare", "transaction");
        if self.analysis.unsupported == Some(Unsupported::Transaction(TransactionControl::End))
            && !is_transaction_control
            && !words.is_empty()
        {
            self.is_followed = true;
            self.analysis.unsupported = Some(Unsupported::Transaction(TransactionControl::Within));
        }
        match first {
            _ if is_transaction_control => {
                let control = match first {
                    _ if second == "prepared" => TransactionControl::Within,
                    "begin" | "start" => TransactionControl::Begin,
                    // AND CHAIN begins a transaction like the one that it ends.
                    _ if words.windows(2).any(|pair| pair == ["and", "chain"]) => TransactionControl::Within,
                    "rollback" if statement.has_to => TransactionControl::Within,
                    _ if self.is_followed => TransactionControl::Within,
                    "commit" | "end" | "abort" | "rollback" | "prepare" => TransactionControl::End,
                    _ => TransactionControl::Within,
                };
                // Transaction control takes precedence over other unsupported features. The last word that begins or ends a
                // transaction counts.
                let has_control = matches!(self.analysis.unsupported, Some(Unsupported::Transaction(_)));
                if !has_control || control != TransactionControl::Within {
                    self.analysis.unsupported = Some(Unsupported::Transaction(control));
                }
                self.analysis.raise_with(Effect::Session, || {
                    format!("{} belongs to a transaction", first.to_uppercase())
                });
                false
            }
            _ if SESSION_WORDS.contains(&first) => {
                self.analysis.unsupported = self.analysis.unsupported.or(Some(Unsupported::Session));
                self.analysis
                    .raise_with(Effect::Session, || format!("{} belongs to a session", first.to_uppercase()));
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
                self.analysis.raise_with(Effect::Write, || format!("{} changes rows", first.to_uppercase()));
                true
            }
            _ if QUERY_WORDS.contains(&first) => true,
            _ => {
                self.utility = true;
                let word = || first.chars().take(40).collect::<String>().to_uppercase();
                self.analysis.raise_with(Effect::Write, || format!("{} is not known to be a query", word()));
                false
            }
        }
    }

    /// Scans one statement.
    fn scan_statement(&mut self, tokens: &[(Token, &str)]) {
        self.steps += tokens.len() as u64;
        let mut words = FirstWords::default();
        tokens.iter().for_each(|&(token, text)| words.add(token, text));
        if !self.scan_first_words(&words) {
            return;
        }
        let first = tokens.iter().find(|t| t.0 != Token::OpenParen).map_or("", |t| t.1);
        let word = |i: usize| tokens.get(i).filter(|t| t.0 == Token::Word).map_or("", |t| t.1);
        let is_analyze = |t: &(Token, &str)| matches!(unquoted(t.1), "analyze" | "analyse");
        // EXPLAIN without ANALYZE plans the statement and doesn't run it.
        let only_explained = first == "explain" && !tokens.iter().any(is_analyze);
        if first == "explain" {
            let session_word =
                (1..tokens.len()).map(word).find(|w| ["execute", "prepare", "declare"].contains(w));
            if let Some(session_word) = session_word {
                self.analysis.unsupported = self.analysis.unsupported.or(Some(Unsupported::Session));
                self.analysis.raise_with(Effect::Session, || {
                    format!("{} belongs to a session", session_word.to_uppercase())
                });
            }
            if (1..tokens.len()).any(|i| ["create", "refresh"].contains(&word(i))) {
                self.analysis.raise(Effect::Write, "what is explained creates something");
            }
        }
        // For each open parenthesis, whether an expression, rather than an alias, follows its end. That is so after
        // DISTINCT ON (...).
        let mut open_groups: Vec<bool> = Vec::new();
        let mut expression_follows = false;
        for (i, &(token, text)) in tokens.iter().enumerate() {
            match token {
                Token::OpenParen | Token::OpenBracket => {
                    if token == Token::OpenParen {
                        self.scan_call(tokens, i, expression_follows);
                    }
                    open_groups.push(i >= 2 && word(i - 1) == "on" && word(i - 2) == "distinct");
                    self.max_depth = self.max_depth.max(open_groups.len());
                }
                Token::CloseParen | Token::CloseBracket => {
                    expression_follows = open_groups.pop().unwrap_or(true);
                    continue;
                }
                Token::Operator if !BUILTIN_OPERATORS.contains(&text) => {
                    self.operators += 1;
                    self.analysis.raise_with(Effect::Write, || format!("the operator {text} is not known"));
                }
                Token::Operator | Token::CompoundSymbol => self.operators += 1,
                Token::Word => self.scan_word(tokens, i, only_explained),
                Token::QuotedName | Token::UnicodeQuotedName => self.scan_name(tokens, i),
                _ => {}
            }
            if !matches!(token, Token::Word | Token::QuotedName | Token::UnicodeQuotedName | Token::Dot) {
                expression_follows = false;
            }
        }
    }

    /// Scans a word that is not quoted.
    fn scan_word(&mut self, tokens: &[(Token, &str)], i: usize, only_explained: bool) {
        let text = tokens[i].1;
        let next = |n: usize| tokens.get(i + n).map_or("", |t| t.1);
        // A word after a dot is the name of a column, so it changes no data.
        let is_column = i > 0 && tokens[i - 1].0 == Token::Dot;
        match text {
            _ if is_column => {}
            "and" | "or" | "not" | "union" | "except" | "intersect" | "join" | "is" | "like" | "ilike"
            | "in" | "between" | "similar" | "case" | "when" | "collate" | "at" | "isnull" | "notnull" => {
                self.operators += 1;
            }
            "for" if matches!(next(1), "update" | "share" | "no" | "key") && !only_explained => {
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
            _ if CHANGING_WORDS.contains(&text) && !only_explained => {
                self.analysis.raise_with(Effect::Write, || format!("{} stands in it", text.to_uppercase()));
            }
            _ => {}
        }
        self.scan_name(tokens, i);
    }

    /// Checks whether the operator listed a name as having effects.
    fn scan_name(&mut self, tokens: &[(Token, &str)], i: usize) {
        if !self.functions.any_with_effects() {
            return;
        }
        let qualified_name = name_parts(tokens, i).join(".");
        if self.functions.has_effects(unquoted(tokens[i].1)) || self.functions.has_effects(&qualified_name) {
            self.analysis
                .raise_with(Effect::Write, || format!("{qualified_name} is listed as having effects"));
        }
    }

    /// Scans the name before the open parenthesis at `open`. If it is a call, its function must be a known one. With
    /// `expression_follows`, the name follows a parenthesis after which an expression begins, so it is not an alias.
    fn scan_call(&mut self, tokens: &[(Token, &str)], open: usize, expression_follows: bool) {
        let Some(i) = open.checked_sub(1) else { return };
        let (token, text) = tokens[i];
        let is_name = matches!(token, Token::QuotedName | Token::UnicodeQuotedName) || token == Token::Word;
        if !is_name {
            return;
        }
        let parts = name_parts(tokens, i);
        self.steps += parts.len() as u64;
        let begin = i + 2 - parts.len() * 2;
        let (before, before_text) = begin.checked_sub(1).map_or((Token::Other, ""), |b| tokens[b]);
        let is_single_word = token == Token::Word && parts.len() == 1;
        // Some of the words are not reserved, so a function may have their name. They are keywords only where the grammar
        // allows them.
        let is_keyword_here = match text {
            "filter" | "over" => before == Token::CloseParen || before_text == "nulls",
            "sets" => before_text == "grouping",
            "by" => ["group", "order", "partition"].contains(&before_text),
            "explain" => begin == 0,
            "materialized" => ["as", "not"].contains(&before_text),
            "varying" => ["character", "char", "bit"].contains(&before_text),
            _ => true,
        };
        if is_single_word && is_keyword_here && NON_CALL_WORDS.contains(&text) {
            return;
        }
        let is_alias_or_type = match before {
            Token::Word => ["as", "recursive", "with", "tablesample"].contains(&before_text),
            // A type with its length.
            Token::CompoundSymbol => before_text == "::",
            Token::CloseParen => !expression_follows,
            _ => false,
        };
        let is_common_table = self.is_common_table(tokens, open);
        if parts.len() == 1 && (is_alias_or_type || is_common_table) {
            return;
        }
        match self.functions.kind(&parts) {
            Some(FunctionKind::SideEffectFree | FunctionKind::Aggregate) => {}
            Some(FunctionKind::Session) => {
                self.analysis
                    .raise_with(Effect::Session, || format!("{}() belongs to a session", parts.join(".")));
            }
            None => {
                let name = || parts.join(".").chars().take(80).collect::<String>();
                self.analysis
                    .raise_with(Effect::Write, || format!("{}() is not known to be free of effects", name()));
            }
        }
    }

    /// Whether the parentheses that open here contain the columns of a common table, as in `x (a, b) as (select`. The column
    /// definitions of a function, as in `f(x) as (a int`, never begin with the words after `as (`, which are reserved.
    fn is_common_table(&mut self, tokens: &[(Token, &str)], open: usize) -> bool {
        let close = tokens[open..].iter().take(MAX_COLUMN_TOKENS).position(|t| t.0 == Token::CloseParen);
        self.steps += close.unwrap_or(MAX_COLUMN_TOKENS) as u64;
        let Some(close) = close else { return false };
        let is_name_or_comma =
            |t: &(Token, &str)| matches!(t.0, Token::Word | Token::QuotedName | Token::Comma);
        let rest: Vec<&str> = tokens[open + close + 1..].iter().take(5).map(|t| t.1).collect();
        let rest = match rest.as_slice() {
            ["as", "not", "materialized", rest @ ..] | ["as", "materialized", rest @ ..] => rest,
            ["as", rest @ ..] => rest,
            _ => return false,
        };
        tokens[open + 1..open + close].iter().all(is_name_or_comma)
            && matches!(rest, ["(", "select" | "with" | "table", ..])
    }
}

/// Whether a token is the name of a schema of temporary objects: `pg_temp`, or `pg_temp_` and a number.
fn names_temporary_schema(token: Token, text: &str) -> bool {
    let name = match token {
        Token::Word | Token::QuotedName => Cow::Borrowed(unquoted(text)),
        Token::UnicodeQuotedName => Cow::Owned(without_escapes(unquoted(&text[2..]))),
        _ => return false,
    };
    let Some(rest) = name.strip_prefix("pg_temp") else { return false };
    rest.is_empty() || rest.strip_prefix('_').is_some_and(|n| n.bytes().all(|b| b.is_ascii_digit()))
}

/// A name with each escape replaced by its character. UESCAPE may choose the character that begins an escape, so any that
/// is followed by the digits of one counts.
fn without_escapes(name: &str) -> String {
    let mut decoded = String::new();
    let mut rest = name;
    while let Some(first) = rest.chars().next() {
        let behind = &rest[first.len_utf8()..];
        let (digits, length) = match behind.strip_prefix('+') {
            Some(long) => (long.get(..6), 7),
            None => (behind.get(..4), 4),
        };
        let is_escape = !first.is_ascii_alphanumeric() && first != '_';
        let code = digits.filter(|_| is_escape).and_then(|digits| u32::from_str_radix(digits, 16).ok());
        match code.and_then(char::from_u32) {
            Some(escaped) => {
                decoded.push(escaped);
                rest = &behind[length..];
            }
            None => {
                decoded.push(first);
                rest = behind;
            }
        }
    }
    decoded
}

/// A name without its quotes.
fn unquoted(text: &str) -> &str {
    text.strip_prefix('"').and_then(|t| t.strip_suffix('"')).unwrap_or(text)
}

/// The unquoted parts of the qualified name that ends at the token `last`.
fn name_parts(tokens: &[(Token, &str)], last: usize) -> Vec<String> {
    let part = |text: &str| unquoted(text).replace("\"\"", "\"");
    let mut parts = vec![part(tokens[last].1)];
    let mut i = last;
    // PostgreSQL allows at most four parts.
    while i >= 2
        && parts.len() < 5
        && tokens[i - 1].0 == Token::Dot
        && matches!(tokens[i - 2].0, Token::Word | Token::QuotedName | Token::UnicodeQuotedName)
    {
        i -= 2;
        parts.insert(0, part(tokens[i].1));
    }
    parts
}
