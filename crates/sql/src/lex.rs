//! Tokens, shapes and literals: the one reading of a statement's text that everything else rests on. It owns
//! where a token begins and ends, as PostgreSQL's own scanner sees it. It must never analyze a statement,
//! and never drop anything of which a verdict depends: only literals, comments and white space go.

use logos::{Lexer, Logos, Skip};
use std::ops::Range;

/// Why a text is no statement at all, whatever the server's settings are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// A NUL, which the protocol cannot carry.
    Nul,
    /// Bytes that are not UTF-8.
    Encoding,
    /// A quoted literal, name or comment that does not end.
    Unterminated,
    /// Nothing but white space and comments.
    Empty,
}

impl ReadError {
    /// What a client is told.
    pub fn message(self) -> &'static str {
        match self {
            ReadError::Nul => "a NUL stands in the statement",
            ReadError::Encoding => "the statement is not UTF-8",
            ReadError::Unterminated => "a quoted text or a comment does not end",
            ReadError::Empty => "there is no statement",
        }
    }
}

/// A token as it stands in the text.
#[derive(Logos, Clone, Copy, Debug, PartialEq, Eq)]
// Bytes, not characters: beyond ASCII all belong to words, and a text that is UTF-8 is never cut inside one.
#[logos(error = Unterminated, utf8 = false)]
#[logos(skip r"[ \t\r\n\x0b\x0c]+")]
pub(crate) enum Token {
    #[regex(r"--[^\r\n]*", logos::skip, allow_greedy = true)]
    #[token("/*", block_comment)]
    Comment,
    #[regex(r"[A-Za-z_\x80-\xff]", word)]
    Word,
    #[token("\"", quoted_name)]
    Quoted,
    #[regex("[uU]&\"", quoted_name)]
    UnicodeQuoted,
    /// A string; the flag says that another setting of the server would see its end elsewhere.
    #[regex("'|[nN]'", plain_string)]
    Plain(bool),
    #[regex("[eE]'", escape_string)]
    Escape,
    #[regex("[uU]&'", plain_string)]
    Unicode(bool),
    #[regex("[bBxX]'", plain_string)]
    Bits(bool),
    #[regex(r"\$([A-Za-z_\x80-\xff][A-Za-z0-9_\x80-\xff]*)?\$", dollar_string)]
    Dollar,
    #[regex(r"\$[0-9]+")]
    Parameter,
    #[regex(r"([0-9][0-9_]*(\.[0-9_]*)?|\.[0-9][0-9_]*)([eE][+-]?[0-9][0-9_]*)?")]
    #[regex(r"0[xX][0-9a-fA-F_]+|0[oO][0-7_]+")]
    Number,
    #[regex(r"[+\-*/<>=~!@#%^&|`?]", operator)]
    Operator,
    #[token("::")]
    #[token(":=")]
    #[token("..")]
    Double,
    #[token("(")]
    Open,
    #[token(")")]
    Close,
    #[token("[")]
    OpenBracket,
    #[token("]")]
    CloseBracket,
    #[token(",")]
    Comma,
    #[token(";")]
    Semicolon,
    #[token(".")]
    Dot,
    /// What no statement holds outside quotes; the parser says the rest.
    #[regex(r"[:$\\{}\x01-\x08\x0e-\x1f\x7f]")]
    Other,
}

/// The logos error: something quoted does not end, the only way in which no token comes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Unterminated;

type Cut<'s> = Lexer<'s, Token>;

/// What may stand in a word behind its first byte.
const WORD: [bool; 256] = {
    let (mut table, mut b) = ([false; 256], 0);
    while b < 256 {
        table[b] = (b as u8).is_ascii_alphanumeric() || b == b'_' as usize || b == b'$' as usize || b >= 0x80;
        b += 1;
    }
    table
};

/// The rest of a word. Most bytes of a statement are in words, and a table takes a third of what states take.
fn word(lex: &mut Cut) {
    let rest = lex.remainder();
    lex.bump(rest.iter().position(|&b| !WORD[usize::from(b)]).unwrap_or(rest.len()));
}

/// Comments nest, as in PostgreSQL and not in most other languages.
fn block_comment(lex: &mut Cut) -> Result<Skip, Unterminated> {
    let bytes = lex.remainder();
    let (mut depth, mut at) = (1usize, 0);
    while depth > 0 {
        match bytes.get(at..at + 2).ok_or(Unterminated)? {
            b"/*" => (depth, at) = (depth + 1, at + 2),
            b"*/" => (depth, at) = (depth - 1, at + 2),
            _ => at += 1,
        }
    }
    lex.bump(at);
    Ok(Skip)
}

fn quoted_name(lex: &mut Cut) -> Result<(), Unterminated> {
    let bytes = lex.remainder();
    let mut at = 0;
    loop {
        at += memchr::memchr(b'"', &bytes[at..]).ok_or(Unterminated)? + 1;
        if bytes.get(at) != Some(&b'"') {
            lex.bump(at);
            return Ok(());
        }
        at += 1;
    }
}

/// Groups within groups that are looked at for folding.
const DEEPEST: usize = 128;

/// Where a string goes on: white space that holds a line's end, maybe with `--` comments, and a quote.
/// Guards against `E'a'` and `'b\'c'` on two lines being taken for two strings with other ends.
fn continued(bytes: &[u8], mut at: usize) -> Option<usize> {
    let mut line = false;
    loop {
        match bytes.get(at)? {
            b'\n' | b'\r' => line = true,
            b' ' | b'\t' | 0x0b | 0x0c => {}
            b'-' if bytes.get(at + 1) == Some(&b'-') => {
                at += bytes[at..].iter().position(|b| matches!(b, b'\n' | b'\r'))?;
                continue;
            }
            b'\'' if line => return Some(at + 1),
            _ => return None,
        }
        at += 1;
    }
}

/// A string whose backslashes mean nothing, up to its end. True where with `standard_conforming_strings`
/// off a backslash would hide one of its quotes, so that the string would end elsewhere.
fn plain_string(lex: &mut Cut) -> Result<bool, Unterminated> {
    let bytes = lex.remainder();
    let (mut at, mut unsure, mut begun) = (0, false, 0);
    loop {
        at += memchr::memchr(b'\'', &bytes[at..]).ok_or(Unterminated)?;
        let slashes = bytes[begun..at].iter().rev().take_while(|&&b| b == b'\\').count();
        unsure |= slashes % 2 == 1;
        at += 1;
        if bytes.get(at) == Some(&b'\'') {
            at += 1;
            begun = at;
        } else if let Some(next) = continued(bytes, at) {
            (at, begun) = (next, next);
        } else {
            lex.bump(at);
            return Ok(unsure);
        }
    }
}

fn escape_string(lex: &mut Cut) -> Result<(), Unterminated> {
    let bytes = lex.remainder();
    let mut at = 0;
    loop {
        match bytes.get(at).ok_or(Unterminated)? {
            b'\\' => at += 2,
            b'\'' if bytes.get(at + 1) == Some(&b'\'') => at += 2,
            b'\'' => match continued(bytes, at + 1) {
                Some(next) => at = next,
                None => break,
            },
            _ => at += 1,
        }
    }
    lex.bump(at + 1);
    Ok(())
}

fn dollar_string(lex: &mut Cut) -> Result<(), Unterminated> {
    let (tag, rest) = (lex.slice(), lex.remainder());
    let mut at = 0;
    loop {
        at += memchr::memchr(b'$', &rest[at..]).ok_or(Unterminated)?;
        if rest[at..].starts_with(tag) {
            lex.bump(at + tag.len());
            return Ok(());
        }
        at += 1;
    }
}

/// The rest of an operator, as PostgreSQL's scanner cuts it: up to a comment, and without a sign at its end
/// unless it holds a character that no operator of standard SQL has.
fn operator(lex: &mut Cut) {
    let bytes = &lex.source()[lex.span().start..];
    let symbol = |b: &&u8| b"+-*/<>=~!@#%^&|`?".contains(b);
    let whole = &bytes[..bytes.iter().take_while(symbol).count()];
    let comment = whole.windows(2).skip(1).position(|w| w == b"--" || w == b"/*");
    let mut length = comment.map_or(whole.len(), |at| at + 1);
    let odd = whole[..length].iter().any(|b| b"~!@#%^&|`?".contains(b));
    while !odd && length > 1 && matches!(whole[length - 1], b'+' | b'-') {
        length -= 1;
    }
    lex.bump(length - 1);
}

/// A literal that a placeholder of the shape stands for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Literal {
    /// Where it stands in the statement, quotes and all.
    pub span: Range<usize>,
    /// Whether others were folded into it, so that it is only the first of several.
    pub folded: bool,
}

/// A group that ended: where it begins and ends in the shape, and its first slot.
#[derive(Clone, Copy)]
struct Ended {
    begin: usize,
    end: usize,
    slots: usize,
}

/// A parenthesis or bracket that is open.
struct Group {
    /// Where it begins in the shape, and how many slots there were.
    begin: usize,
    slots: usize,
    /// Whether its literals are a list in which their number decides nothing.
    list: bool,
    /// Where the present element begins, and whether all before it are the one literal that stands for them.
    element: usize,
    element_slots: usize,
    literals: bool,
    /// The group before, in which this one stands, ended here last.
    inner: Option<Ended>,
}

/// The reading of one statement's text; kept and used again, so that a warm reading allocates nothing.
#[derive(Default)]
pub struct StatementReader {
    shape: Vec<u8>,
    slots: Vec<Literal>,
    groups: Vec<Group>,
    /// The group that ended last outside all others.
    outermost: Option<Ended>,
    /// Groups that are open beyond the deepest that is looked at for folding.
    beyond: usize,
    statements: usize,
    unsure: bool,
}

impl StatementReader {
    /// The shape: tokens, each followed by a space; every string is `'?'` and every number `0`.
    pub fn shape(&self) -> &str {
        // All of it is ASCII or whole words of a text that is UTF-8.
        std::str::from_utf8(&self.shape).unwrap_or_default()
    }
    /// The same as bytes, which is how a cache looks for it.
    pub fn shape_bytes(&self) -> &[u8] {
        &self.shape
    }
    /// The literals, in the order of the shape's placeholders.
    pub fn literals(&self) -> &[Literal] {
        &self.slots
    }
    /// Statements that are not empty.
    pub fn statement_count(&self) -> usize {
        self.statements
    }
    /// Whether `standard_conforming_strings = off` would read other tokens.
    pub fn quoting_is_ambiguous(&self) -> bool {
        self.unsure
    }

    /// Gives memory back beyond so many bytes of shape. Guards against one long statement's keeping it.
    pub fn shrink(&mut self, bytes: usize) {
        if self.shape.capacity() > bytes {
            self.shape = Vec::new();
            self.slots = Vec::new();
        }
    }

    /// Reads bytes as they came from a client.
    pub fn read_bytes<'t>(&mut self, bytes: &'t [u8]) -> Result<&'t str, ReadError> {
        let text = std::str::from_utf8(bytes).map_err(|_| ReadError::Encoding)?;
        self.read(text).map(|()| text)
    }

    /// Reads a text: afterwards shape, slots and the rest are this statement's. Takes time in proportion to
    /// its length, and memory for no more than its shape.
    pub fn read(&mut self, text: &str) -> Result<(), ReadError> {
        self.shape.clear();
        self.slots.clear();
        self.groups.clear();
        (self.statements, self.unsure, self.outermost) = (0, false, None);
        self.beyond = 0;
        let (mut begun, mut creates, mut atomic) = (false, false, 0);
        if memchr::memchr(0, text.as_bytes()).is_some() {
            return Err(ReadError::Nul);
        }
        let mut lex = Token::lexer(text.as_bytes());
        while let Some(token) = lex.next() {
            let token = token.map_err(|Unterminated| ReadError::Unterminated)?;
            if token == Token::Semicolon && atomic == 0 {
                (begun, creates) = (false, false);
                continue;
            }
            if token == Token::Word && (creates || !begun) {
                // The body of a function between BEGIN ATOMIC and END is one statement with its CREATE.
                let word = lex.slice();
                let is = |w: &str| word.eq_ignore_ascii_case(w.as_bytes());
                creates |= is("create");
                match atomic {
                    0 if is("atomic") && self.shape.ends_with(b"begin ") => atomic = 1,
                    0 => {}
                    _ if is("case") => atomic += 1,
                    _ if is("end") => atomic -= 1,
                    _ => {}
                }
            }
            if token == Token::Semicolon {
                continue;
            }
            if !begun {
                (begun, self.statements) = (true, self.statements + 1);
                if self.statements > 1 {
                    self.shape.extend_from_slice(b"; ");
                }
                self.groups.clear();
                (self.outermost, self.beyond) = (None, 0);
            }
            self.take(token, lex.slice(), lex.span());
        }
        if self.statements == 0 { Err(ReadError::Empty) } else { Ok(()) }
    }

    fn take(&mut self, token: Token, slice: &[u8], span: Range<usize>) {
        match token {
            Token::Word => {
                let at = self.shape.len();
                self.shape.extend_from_slice(slice);
                self.shape[at..].make_ascii_lowercase();
                self.shape.push(b' ');
            }
            Token::Plain(unsure) | Token::Unicode(unsure) => {
                self.unsure |= unsure;
                self.literal(b"'?' ", span);
            }
            Token::Bits(unsure) => {
                self.unsure |= unsure;
                self.literal(b"b'?' ", span);
            }
            Token::Escape | Token::Dollar => self.literal(b"'?' ", span),
            Token::Number => self.literal(b"0 ", span),
            // Guards against a memory that grows with the depth of what will not be parsed anyway.
            Token::Open | Token::OpenBracket if self.groups.len() >= DEEPEST => {
                self.beyond += 1;
                self.shape.extend_from_slice(if token == Token::Open { b"( " } else { b"[ " });
            }
            Token::Close | Token::CloseBracket if self.beyond > 0 => {
                self.beyond -= 1;
                self.shape.extend_from_slice(if token == Token::Close { b") " } else { b"] " });
            }
            Token::Open | Token::OpenBracket => {
                let lists: [&[u8]; 4] = [b" in ", b" any ", b" all ", b" some "];
                let list = lists.iter().any(|w| self.shape.ends_with(w));
                let list = list || token == Token::OpenBracket;
                let (begin, slots) = (self.shape.len(), self.slots.len());
                self.shape.extend_from_slice(if token == Token::Open { b"( " } else { b"[ " });
                let element = self.shape.len();
                let (element_slots, literals, inner) = (slots, false, None);
                self.groups.push(Group { begin, slots, list, element, element_slots, literals, inner });
            }
            Token::Close | Token::CloseBracket => {
                self.end_element();
                self.shape.extend_from_slice(if token == Token::Close { b") " } else { b"] " });
                self.close();
            }
            Token::Comma if self.beyond > 0 => self.shape.extend_from_slice(b", "),
            Token::Comma => {
                if !self.end_element() {
                    self.shape.extend_from_slice(b", ");
                }
                if let Some(group) = self.groups.last_mut() {
                    (group.element, group.element_slots) = (self.shape.len(), self.slots.len());
                }
            }
            _ => {
                self.shape.extend_from_slice(slice);
                self.shape.push(b' ');
            }
        }
    }

    fn literal(&mut self, placeholder: &[u8], span: Range<usize>) {
        self.shape.extend_from_slice(placeholder);
        self.slots.push(Literal { span, folded: false });
    }

    /// An element of the innermost group ends. In a list, one that is only a literal goes into the literal
    /// before it; true if it did, and the comma behind it goes with it.
    fn end_element(&mut self) -> bool {
        let Some(group) = self.groups.last_mut() else { return false };
        if !group.list {
            return false;
        }
        let element = &self.shape[group.element..];
        let literal = element.strip_prefix(b"- ").or(element.strip_prefix(b"+ ")).unwrap_or(element);
        let literal: &[u8] = match literal {
            b"'?' " => b"'?' ",
            b"0 " => b"0 ",
            b"b'?' " => b"b'?' ",
            _ => {
                group.literals = false;
                return false;
            }
        };
        self.shape.truncate(group.element);
        if group.literals {
            // Its comma stays: the next element stands where this one stood.
            self.slots.truncate(group.element_slots);
            if let Some(first) = self.slots.last_mut() {
                first.folded = true;
            }
            return true;
        }
        // Without its sign, as the others go.
        self.shape.extend_from_slice(literal);
        group.literals = true;
        false
    }

    /// The innermost group ends; where it is the same as its neighbour before it, it goes, and the comma too.
    fn close(&mut self) {
        let Some(group) = self.groups.pop() else { return };
        // A list that folded ends in a comma that nothing follows.
        let tail = self.shape.len() - 2;
        if group.literals && self.shape[..tail].ends_with(b", ") {
            self.shape.drain(tail - 2..tail);
        }
        let last = Ended { begin: group.begin, end: self.shape.len(), slots: group.slots };
        let outer = self.groups.last_mut();
        let before = outer.as_ref().map_or(self.outermost, |o| o.inner);
        let kept = match before.filter(|b| same(&self.shape, b, &last)) {
            Some(before) => {
                let count = self.slots.len() - last.slots;
                self.shape.truncate(before.end);
                self.slots.truncate(last.slots);
                self.slots[last.slots - count..].iter_mut().for_each(|s| s.folded = true);
                before
            }
            None => last,
        };
        match outer {
            Some(outer) => {
                // The element is the kept group: the comma that it stood behind may be gone.
                (outer.element, outer.element_slots) =
                    (outer.element.min(kept.begin), outer.element_slots.min(kept.slots));
                outer.inner = Some(kept);
            }
            None => self.outermost = Some(kept),
        }
    }
}

/// Whether two neighbours, a comma between, are the same to the letter, and neither belongs to a name before
/// it: rows of VALUES, or tuples in a list. Guards against the arguments of a call passing for a row.
fn same(shape: &[u8], before: &Ended, last: &Ended) -> bool {
    let head = &shape[..before.begin];
    &shape[before.end..last.begin] == b", "
        && shape[before.begin..before.end] == shape[last.begin..last.end]
        && (head.ends_with(b"values ") || head.ends_with(b"( ") || head.ends_with(b", "))
}

/// The tokens of a shape, in order: a shape is a text that reads as itself.
pub(crate) fn tokens(shape: &str) -> impl Iterator<Item = (Token, &str)> {
    let mut lex = Token::lexer(shape.as_bytes());
    std::iter::from_fn(move || {
        let token = lex.next()?.unwrap_or(Token::Other);
        Some((token, &shape[lex.span()]))
    })
}

/// The value of a literal as text, where it is certain: numbers without signs, points or leading zeros,
/// strings without escapes.
pub fn literal_text(literal: &str) -> Option<String> {
    if let Some(inner) = literal.strip_prefix('\'').and_then(|l| l.strip_suffix('\'')) {
        let plain = inner.replace("''", "");
        return (!plain.contains(['\'', '\\'])).then(|| inner.replace("''", "'"));
    }
    if let Some(rest) = literal.strip_prefix('$') {
        let tag = rest.find('$')? + 2;
        return literal.get(tag..literal.len() - tag).map(str::to_string);
    }
    if literal.bytes().all(|b| b.is_ascii_digit()) {
        let significant = literal.trim_start_matches('0');
        return Some(if significant.is_empty() { "0" } else { significant }.to_string());
    }
    None
}
