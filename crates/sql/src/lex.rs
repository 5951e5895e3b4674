//! Tokens, shapes and literals of a statement's text, which all analysis rests on. Tokens begin and end where PostgreSQL's
//! own scanner has them begin and end. The reader must never decide what a statement does, and must drop nothing that the
//! effect depends on: only literals, comments, white space, and the repeated rows and elements of lists are left out.

use logos::{Lexer, Logos};
use std::ops::Range;

/// Why a text is not a statement under any setting of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// It contains a NUL, which the protocol cannot transmit.
    Nul,
    /// It contains bytes that are not UTF-8.
    Encoding,
    /// A quoted literal, a quoted name or a comment does not end.
    Unterminated,
    /// It contains only white space and comments.
    Empty,
}

impl ReadError {
    /// The message for the client.
    pub fn message(self) -> &'static str {
        match self {
            ReadError::Nul => "a NUL stands in the statement",
            ReadError::Encoding => "the statement is not UTF-8",
            ReadError::Unterminated => "a quoted text or a comment does not end",
            ReadError::Empty => "there is no statement",
        }
    }
}

/// A token of a statement's text.
#[derive(Logos, Clone, Copy, Debug, PartialEq, Eq)]
// Matching bytes instead of characters is safe: every byte beyond ASCII belongs to a word, a name, a string or a comment,
// so a UTF-8 text is never split inside a character.
#[logos(error = Unterminated, utf8 = false, extras = LexerState)]
#[logos(skip r"[ \t\r\n\x0b\x0c]+")]
pub(crate) enum Token {
    /// Its readers pass it over. The lexer must not: it would call itself for each comment of a run, and run out of stack.
    #[regex(r"--[^\r\n]*", allow_greedy = true)]
    #[token("/*", block_comment)]
    Comment,
    #[regex(r"[A-Za-z_\x80-\xff]", word)]
    Word,
    #[token("\"", quoted_name)]
    QuotedName,
    #[regex("[uU]&\"", quoted_name)]
    UnicodeQuotedName,
    /// A string in which backslashes have no meaning. The flag is set if the server would end it elsewhere with another
    /// setting.
    #[regex("'|[nN]'", plain_string)]
    PlainString(bool),
    #[regex("[eE]'", escape_string)]
    EscapeString,
    #[regex("[uU]&'", plain_string)]
    UnicodeString(bool),
    #[regex("[bBxX]'", plain_string)]
    BitString(bool),
    #[regex(r"\$([A-Za-z_\x80-\xff][A-Za-z0-9_\x80-\xff]*)?\$", dollar_string)]
    DollarString,
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
    CompoundSymbol,
    #[token("(")]
    OpenParen,
    #[token(")")]
    CloseParen,
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
    /// A character that no statement has outside of quotes. The parser rejects it.
    #[regex(r"[:$\\{}\x01-\x08\x0e-\x1f\x7f]")]
    Other,
}

/// The error of the lexer. A quoted text or comment that does not end is the only reason for which no token is found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Unterminated;

/// What the lexer keeps from token to token.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LexerState {
    /// Up to here each symbol is a sign that is an operator of its own: they are the end of a run of symbols that was looked
    /// at before.
    signs_end: usize,
    /// The bytes that were looked at, each as often as it was.
    pub steps: u64,
}

impl LexerState {
    fn count(&mut self, bytes: usize) {
        self.steps += bytes as u64;
    }
}

type TokenLexer<'s> = Lexer<'s, Token>;

/// Whether a byte may follow the first byte of a word.
const IS_WORD_BYTE: [bool; 256] = {
    let mut table = [false; 256];
    let mut byte = 0;
    while byte < 256 {
        table[byte] = (byte as u8).is_ascii_alphanumeric()
            || byte == b'_' as usize
            || byte == b'$' as usize
            || byte >= 0x80;
        byte += 1;
    }
    table
};

/// Consumes the rest of a word. Most bytes of a statement are in words, and a table lookup takes a third of the time of
/// the lexer's state machine.
fn word(lex: &mut TokenLexer) {
    let rest = lex.remainder();
    let length = rest.iter().position(|&b| !IS_WORD_BYTE[usize::from(b)]).unwrap_or(rest.len());
    lex.extras.count(length);
    lex.bump(length);
}

/// Consumes the rest of a block comment. Block comments nest in PostgreSQL, unlike in most languages.
fn block_comment(lex: &mut TokenLexer) -> Result<(), Unterminated> {
    let bytes = lex.remainder();
    let (mut depth, mut at) = (1usize, 0);
    while depth > 0 {
        match bytes.get(at..at + 2).ok_or(Unterminated)? {
            b"/*" => (depth, at) = (depth + 1, at + 2),
            b"*/" => (depth, at) = (depth - 1, at + 2),
            _ => at += 1,
        }
    }
    lex.extras.count(at);
    lex.bump(at);
    Ok(())
}

/// Consumes the rest of a quoted name, in which a doubled quote stands for one.
fn quoted_name(lex: &mut TokenLexer) -> Result<(), Unterminated> {
    let bytes = lex.remainder();
    let mut at = 0;
    loop {
        at += memchr::memchr(b'"', &bytes[at..]).ok_or(Unterminated)? + 1;
        if bytes.get(at) != Some(&b'"') {
            lex.extras.count(at);
            lex.bump(at);
            return Ok(());
        }
        at += 1;
    }
}

/// The nesting of groups up to which lists and rows are folded.
const MAX_FOLDED_DEPTH: usize = 128;

/// The position after the opening quote of a string's next part. PostgreSQL joins parts that are separated by white space
/// with at least one line end, which may include `--` comments. Guards against `E'a'` and `'b\'c'` on two lines being read
/// as two strings, of which the second would end elsewhere.
fn next_part(bytes: &[u8], from: usize, state: &mut LexerState) -> Option<usize> {
    let mut has_line_end = false;
    let mut at = from;
    let next = loop {
        match bytes.get(at) {
            Some(b'\n' | b'\r') => has_line_end = true,
            Some(b' ' | b'\t' | 0x0b | 0x0c) => {}
            Some(b'-') if bytes.get(at + 1) == Some(&b'-') => {
                let is_line_end = |b: &u8| matches!(b, b'\n' | b'\r');
                at += bytes[at..].iter().position(is_line_end).unwrap_or(bytes.len() - at);
                continue;
            }
            Some(b'\'') if has_line_end => break Some(at + 1),
            _ => break None,
        }
        at += 1;
    };
    state.count(at - from);
    next
}

/// Consumes the rest of a string in which backslashes have no meaning. Returns true if the string would end elsewhere with
/// `standard_conforming_strings` off, because a backslash would then escape one of its quotes.
fn plain_string(lex: &mut TokenLexer) -> Result<bool, Unterminated> {
    let bytes = lex.remainder();
    let mut at = 0;
    let mut ambiguous = false;
    let mut segment_start = 0;
    loop {
        at += memchr::memchr(b'\'', &bytes[at..]).ok_or(Unterminated)?;
        let backslashes = bytes[segment_start..at].iter().rev().take_while(|&&b| b == b'\\').count();
        ambiguous |= backslashes % 2 == 1;
        at += 1;
        if bytes.get(at) == Some(&b'\'') {
            at += 1;
            segment_start = at;
        } else if let Some(next) = next_part(bytes, at, &mut lex.extras) {
            (at, segment_start) = (next, next);
        } else {
            // Each byte is looked at for a quote, and again if it is one of the backslashes before a quote.
            lex.extras.count(2 * at);
            lex.bump(at);
            return Ok(ambiguous);
        }
    }
}

/// Consumes the rest of an escape string (`E'...'`), in which a backslash escapes the next character.
fn escape_string(lex: &mut TokenLexer) -> Result<(), Unterminated> {
    let bytes = lex.remainder();
    let mut at = 0;
    loop {
        match bytes.get(at).ok_or(Unterminated)? {
            b'\\' => at += 2,
            b'\'' if bytes.get(at + 1) == Some(&b'\'') => at += 2,
            b'\'' => match next_part(bytes, at + 1, &mut lex.extras) {
                Some(next) => at = next,
                None => break,
            },
            _ => at += 1,
        }
    }
    lex.extras.count(at + 1);
    lex.bump(at + 1);
    Ok(())
}

/// Consumes the rest of a dollar-quoted string, up to the tag that began it.
fn dollar_string(lex: &mut TokenLexer) -> Result<(), Unterminated> {
    let (tag, rest) = (lex.slice(), lex.remainder());
    let mut at = 0;
    loop {
        at += memchr::memchr(b'$', &rest[at..]).ok_or(Unterminated)?;
        if rest[at..].starts_with(tag) {
            // The tag has no dollar sign but its first and last byte, so a comparison ends at the next one at the latest.
            lex.extras.count(2 * (at + tag.len()));
            lex.bump(at + tag.len());
            return Ok(());
        }
        at += 1;
    }
}

/// Consumes the rest of an operator, as PostgreSQL's scanner does: it ends before a comment, and has no sign at its end
/// unless it contains a character that no operator of standard SQL has. The signs that are left out at the end of a run of
/// symbols are operators of one sign each. Guards against a run of signs that is looked at anew for each of them.
fn operator(lex: &mut TokenLexer) {
    let start = lex.span().start;
    if start < lex.extras.signs_end {
        return;
    }
    let bytes = &lex.source()[start..];
    let symbols = &bytes[..symbols_before_comment(bytes)];
    lex.extras.count(3 * symbols.len());
    let is_non_standard = |b: &u8| b"~!@#%^&|`?".contains(b);
    if symbols.iter().any(is_non_standard) {
        return lex.bump(symbols.len() - 1);
    }
    lex.extras.signs_end = start + symbols.len();
    let last_other = symbols.iter().rposition(|b| !matches!(b, b'+' | b'-')).unwrap_or(0);
    lex.bump(last_other);
}

/// The length of the run of symbols at the beginning of `bytes`, up to a comment behind its first symbol.
fn symbols_before_comment(bytes: &[u8]) -> usize {
    let is_symbol = |b: &u8| b"+-*/<>=~!@#%^&|`?".contains(b);
    let run = bytes.iter().position(|b| !is_symbol(b)).unwrap_or(bytes.len());
    let comment = bytes[..run].windows(2).skip(1).position(|w| w == b"--" || w == b"/*");
    comment.map_or(run, |at| at + 1)
}

/// A literal that a placeholder of the shape stands for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Literal {
    /// Its bytes in the statement's text, including quotes.
    pub span: Range<usize>,
    /// Whether other literals were folded into it, so that it is only the first of several.
    pub folded: bool,
}

/// A group that was closed.
#[derive(Clone, Copy)]
struct ClosedGroup {
    /// Where the group begins in the shape.
    begin: usize,
    /// Where the group ends in the shape.
    end: usize,
    /// The index of the group's first literal.
    first_literal: usize,
}

/// A parenthesis or bracket that is open.
struct OpenGroup {
    /// Where the group begins in the shape.
    begin: usize,
    /// The index of the group's first literal.
    first_literal: usize,
    /// Whether the group is a list, whose shape doesn't depend on the number of its literals.
    is_list: bool,
    /// Where the current element begins in the shape.
    element: usize,
    /// The index of the current element's first literal.
    element_first_literal: usize,
    /// Whether the previous element is a literal, into which a literal that follows is folded.
    previous_is_literal: bool,
    /// The last group that was closed within this one.
    last_closed: Option<ClosedGroup>,
}

/// Reads a statement's text into its shape and its literals. It is reused for many statements, so that reading one
/// usually allocates nothing.
#[derive(Default)]
pub struct StatementReader {
    shape: Vec<u8>,
    literals: Vec<Literal>,
    open_groups: Vec<OpenGroup>,
    /// The last group that was closed outside of all others.
    last_closed: Option<ClosedGroup>,
    /// Open groups nested deeper than [`MAX_FOLDED_DEPTH`].
    unfolded_groups: usize,
    statement_count: usize,
    quoting_is_ambiguous: bool,
    /// The bytes that were looked at in the statement that was read last, each as often as it was.
    steps: u64,
}

impl StatementReader {
    /// The shape: the tokens, each followed by a space. Every string is `'?'`, every bit string `b'?'` and every number `0`.
    pub fn shape(&self) -> &str {
        // The shape consists of ASCII and of whole words of a UTF-8 text.
        std::str::from_utf8(&self.shape).unwrap_or_default()
    }
    /// The shape's bytes, by which a cache looks it up.
    pub fn shape_bytes(&self) -> &[u8] {
        &self.shape
    }
    /// The literals, in the order of the shape's placeholders.
    pub fn literals(&self) -> &[Literal] {
        &self.literals
    }
    /// The number of statements in the text that are not empty.
    pub fn statement_count(&self) -> usize {
        self.statement_count
    }
    /// Whether the text has other tokens with `standard_conforming_strings` off.
    pub fn quoting_is_ambiguous(&self) -> bool {
        self.quoting_is_ambiguous
    }

    /// The work of the last reading: how many bytes were looked at, each as often as it was, and how many tokens were added.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Releases the buffers if the shape's has grown beyond this many bytes. Guards against one long statement whose memory
    /// is kept for good.
    pub fn shrink(&mut self, bytes: usize) {
        if self.shape.capacity() > bytes {
            self.shape = Vec::new();
            self.literals = Vec::new();
        }
    }

    /// Reads bytes as they came from a client, and returns them as text.
    pub fn read_bytes<'t>(&mut self, bytes: &'t [u8]) -> Result<&'t str, ReadError> {
        let text = std::str::from_utf8(bytes).map_err(|_| ReadError::Encoding)?;
        self.read(text).map(|()| text)
    }

    /// Reads a text, whose shape and literals replace those of the text before. It takes time in proportion to the text's
    /// length, and memory for no more than the shape and the literals.
    pub fn read(&mut self, text: &str) -> Result<(), ReadError> {
        self.shape.clear();
        self.literals.clear();
        self.open_groups.clear();
        (self.statement_count, self.quoting_is_ambiguous, self.last_closed) = (0, false, None);
        (self.unfolded_groups, self.steps) = (0, 0);
        let mut in_statement = false;
        let mut creates = false;
        // Open BEGIN ATOMIC and CASE blocks, each of which an END closes.
        let mut atomic_depth = 0;
        if memchr::memchr(0, text.as_bytes()).is_some() {
            return Err(ReadError::Nul);
        }
        let mut lex = Token::lexer(text.as_bytes());
        let mut token_end = 0;
        while let Some(token) = lex.next() {
            self.steps += 1 + std::mem::take(&mut lex.extras.steps) + (lex.span().end - token_end) as u64;
            token_end = lex.span().end;
            let token = token.map_err(|Unterminated| ReadError::Unterminated)?;
            if token == Token::Comment {
                continue;
            }
            if token == Token::Semicolon && atomic_depth == 0 {
                (in_statement, creates) = (false, false);
                continue;
            }
            if token == Token::Word && (creates || !in_statement) {
                // The body of a function between BEGIN ATOMIC and END belongs to the statement of its CREATE.
                let word = lex.slice();
                let is = |w: &str| word.eq_ignore_ascii_case(w.as_bytes());
                creates |= is("create");
                match atomic_depth {
                    0 if is("atomic") && self.shape.ends_with(b"begin ") => atomic_depth = 1,
                    0 => {}
                    _ if is("case") => atomic_depth += 1,
                    _ if is("end") => atomic_depth -= 1,
                    _ => {}
                }
            }
            if token == Token::Semicolon {
                continue;
            }
            if !in_statement {
                (in_statement, self.statement_count) = (true, self.statement_count + 1);
                if self.statement_count > 1 {
                    self.shape.extend_from_slice(b"; ");
                }
                self.open_groups.clear();
                (self.last_closed, self.unfolded_groups) = (None, 0);
            }
            self.add_token(token, lex.slice(), lex.span());
        }
        if self.statement_count == 0 { Err(ReadError::Empty) } else { Ok(()) }
    }

    /// Adds a token to the shape, and to the literals if it is one.
    fn add_token(&mut self, token: Token, slice: &[u8], span: Range<usize>) {
        match token {
            Token::Word => {
                let at = self.shape.len();
                self.shape.extend_from_slice(slice);
                self.shape[at..].make_ascii_lowercase();
                self.shape.push(b' ');
            }
            Token::PlainString(ambiguous) | Token::UnicodeString(ambiguous) => {
                self.quoting_is_ambiguous |= ambiguous;
                self.add_literal(b"'?' ", span);
            }
            Token::BitString(ambiguous) => {
                self.quoting_is_ambiguous |= ambiguous;
                self.add_literal(b"b'?' ", span);
            }
            Token::EscapeString | Token::DollarString => self.add_literal(b"'?' ", span),
            Token::Number => self.add_literal(b"0 ", span),
            // Guards against memory that grows with the depth of a statement that is not parsed anyway.
            Token::OpenParen | Token::OpenBracket if self.open_groups.len() >= MAX_FOLDED_DEPTH => {
                self.unfolded_groups += 1;
                self.shape.extend_from_slice(if token == Token::OpenParen { b"( " } else { b"[ " });
            }
            Token::CloseParen | Token::CloseBracket if self.unfolded_groups > 0 => {
                self.unfolded_groups -= 1;
                self.shape.extend_from_slice(if token == Token::CloseParen { b") " } else { b"] " });
            }
            Token::OpenParen | Token::OpenBracket => {
                let list_words: [&[u8]; 4] = [b" in ", b" any ", b" all ", b" some "];
                let is_list = list_words.iter().any(|w| self.shape.ends_with(w));
                let is_list = is_list || token == Token::OpenBracket;
                let begin = self.shape.len();
                let first_literal = self.literals.len();
                self.shape.extend_from_slice(if token == Token::OpenParen { b"( " } else { b"[ " });
                let element = self.shape.len();
                let (element_first_literal, previous_is_literal, last_closed) = (first_literal, false, None);
                self.open_groups.push(OpenGroup {
                    begin,
                    first_literal,
                    is_list,
                    element,
                    element_first_literal,
                    previous_is_literal,
                    last_closed,
                });
            }
            Token::CloseParen | Token::CloseBracket => {
                self.end_element();
                self.shape.extend_from_slice(if token == Token::CloseParen { b") " } else { b"] " });
                self.close_group();
            }
            Token::Comma if self.unfolded_groups > 0 => self.shape.extend_from_slice(b", "),
            Token::Comma => {
                if !self.end_element() {
                    self.shape.extend_from_slice(b", ");
                }
                if let Some(group) = self.open_groups.last_mut() {
                    (group.element, group.element_first_literal) = (self.shape.len(), self.literals.len());
                }
            }
            _ => {
                self.shape.extend_from_slice(slice);
                self.shape.push(b' ');
            }
        }
    }

    fn add_literal(&mut self, placeholder: &[u8], span: Range<usize>) {
        self.shape.extend_from_slice(placeholder);
        self.literals.push(Literal { span, folded: false });
    }

    /// Ends an element of the innermost group. In a list, an element that is only a literal is folded into the literal
    /// before it. Returns whether it was; the comma after it is then left out too.
    fn end_element(&mut self) -> bool {
        let Some(group) = self.open_groups.last_mut() else { return false };
        if !group.is_list {
            return false;
        }
        let element = &self.shape[group.element..];
        let is_negative = element.starts_with(b"- ");
        let unsigned = element.strip_prefix(b"- ").or(element.strip_prefix(b"+ ")).unwrap_or(element);
        let placeholder: &[u8] = match unsigned {
            b"'?' " => b"'?' ",
            b"0 " => b"0 ",
            b"b'?' " => b"b'?' ",
            _ => {
                group.previous_is_literal = false;
                return false;
            }
        };
        self.shape.truncate(group.element);
        if group.previous_is_literal {
            // The comma before this element stays, because the next element takes this one's place.
            self.literals.truncate(group.element_first_literal);
            if let Some(first) = self.literals.last_mut() {
                first.folded = true;
            }
            return true;
        }
        // The first literal keeps a minus sign, unlike the folded ones: alone in its list it is a key.
        if is_negative {
            self.shape.extend_from_slice(b"- ");
        }
        self.shape.extend_from_slice(placeholder);
        group.previous_is_literal = true;
        false
    }

    /// Closes the innermost group. If it equals the group before it, as rows of VALUES do, it is folded into that one and
    /// the comma between them is removed.
    fn close_group(&mut self) {
        let Some(group) = self.open_groups.pop() else { return };
        // A list whose last literal was folded ends in a comma, which is removed.
        let closing = self.shape.len() - 2;
        if group.previous_is_literal && self.shape[..closing].ends_with(b", ") {
            self.shape.drain(closing - 2..closing);
        }
        let closed =
            ClosedGroup { begin: group.begin, end: self.shape.len(), first_literal: group.first_literal };
        let outer = self.open_groups.last_mut();
        let before = outer.as_ref().map_or(self.last_closed, |o| o.last_closed);
        if before.is_some_and(|before| before.end - before.begin == closed.end - closed.begin) {
            self.steps += (closed.end - closed.begin) as u64;
        }
        let kept = match before.filter(|b| is_repeated(&self.shape, b, &closed)) {
            Some(before) => {
                let count = self.literals.len() - closed.first_literal;
                self.shape.truncate(before.end);
                self.literals.truncate(closed.first_literal);
                self.literals[closed.first_literal - count..].iter_mut().for_each(|l| l.folded = true);
                before
            }
            None => closed,
        };
        match outer {
            Some(outer) => {
                // The kept group is now the current element: the comma after which the element began may be gone.
                (outer.element, outer.element_first_literal) =
                    (outer.element.min(kept.begin), outer.element_first_literal.min(kept.first_literal));
                outer.last_closed = Some(kept);
            }
            None => self.last_closed = Some(kept),
        }
    }
}

/// Whether two groups with a comma between them have the same text, and are rows of VALUES or tuples in a list: neither
/// follows a name. Guards against the arguments of a call being taken for a row.
fn is_repeated(shape: &[u8], before: &ClosedGroup, closed: &ClosedGroup) -> bool {
    let head = &shape[..before.begin];
    &shape[before.end..closed.begin] == b", "
        && shape[before.begin..before.end] == shape[closed.begin..closed.end]
        && (head.ends_with(b"values ") || head.ends_with(b"( ") || head.ends_with(b", "))
}

/// The tokens of a shape, in order. Reading a shape as a statement gives the same shape.
pub(crate) fn tokens(shape: &str) -> impl Iterator<Item = (Token, &str)> {
    let mut lex = Token::lexer(shape.as_bytes());
    std::iter::from_fn(move || {
        let token = lex.next()?.unwrap_or(Token::Other);
        Some((token, &shape[lex.span()]))
    })
}

/// The value of a literal as text, if it is certain: that of a string without escapes, or of a number of digits only,
/// without its leading zeros.
pub fn literal_text(literal: &str) -> Option<String> {
    if let Some(inner) = literal.strip_prefix('\'').and_then(|l| l.strip_suffix('\'')) {
        let without_quotes = inner.replace("''", "");
        return (!without_quotes.contains(['\'', '\\'])).then(|| inner.replace("''", "'"));
    }
    if let Some(rest) = literal.strip_prefix('$') {
        let tag_len = rest.find('$')? + 2;
        return literal.get(tag_len..literal.len() - tag_len).map(str::to_string);
    }
    if literal.bytes().all(|b| b.is_ascii_digit()) {
        let significant = literal.trim_start_matches('0');
        return Some(if significant.is_empty() { "0" } else { significant }.to_string());
    }
    None
}
