//! A statement and the terms of its request, which its leading comment holds. The cost of reading a comment is bounded by
//! its length, however many fields it has. The module must not decide what the terms mean.

use std::ops::Range;

/// The most characters of a client's text that an error quotes.
const MAX_QUOTED_CHARS: usize = 64;

/// A statement and the terms of its request. The terms come from its leading comment, such as
/// `/* id=1,c=browse,d=300,cluster=3 */`; a plain statement has no such comment.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    text: String,
    /// The position of the value of `d` in the text; none in a plain statement.
    deadline_range: Option<Range<usize>>,
    /// Whether the comment names a deduplication key (`k`), by which the host drops a repeated request.
    pub keyed: bool,
    /// The id of the request (`id`).
    pub id: String,
    /// The name of the class (`c`).
    pub class: String,
    /// How long the client waits for the answer, in milliseconds (`d`).
    pub deadline_ms: u64,
    /// The group of hosts (`cluster`).
    pub group: u32,
    /// The commit time that a read must see, in Unix milliseconds (`after`), if the client sends its last commit.
    pub after_ms: Option<u64>,
    /// Whether the client marks the request as a retry of its own (`r=1`).
    pub client_retry: bool,
    /// The name of the tenant (`t`).
    pub tenant: Option<String>,
}

/// A field of a comment. Its value is decoded only where its name is known: a comment may have thousands of others.
struct Field<'a> {
    comment: &'a str,
    name: &'a [u8],
    /// The position of the value in the comment, with the white space behind it.
    value_range: Range<usize>,
}

/// A part of a comment that is no field.
struct NoField<'a>(&'a str);

/// Iterates over the comma-separated fields of a comment, in one pass over its bytes.
struct Fields<'a> {
    comment: &'a str,
    /// Where the next field begins; `None` behind the last one.
    next: Option<usize>,
}

impl<'a> Iterator for Fields<'a> {
    type Item = Result<Field<'a>, NoField<'a>>;

    fn next(&mut self) -> Option<Self::Item> {
        let start = self.next?;
        let rest = &self.comment.as_bytes()[start..];
        let length = rest.iter().position(|byte| *byte == b',').unwrap_or(rest.len());
        self.next = (length < rest.len()).then_some(start + length + 1);
        let part = &rest[..length];
        let Some(equals) = part.iter().position(|byte| *byte == b'=') else {
            return Some(Err(NoField(&self.comment[start..start + length])));
        };
        let value_range = start + equals + 1..start + length;
        Some(Ok(Field { comment: self.comment, name: part[..equals].trim_ascii(), value_range }))
    }
}

/// The fields of a comment.
fn fields(comment: &str) -> Fields<'_> {
    Fields { comment, next: Some(0) }
}

/// The beginning of a client's text, quoted for an error.
pub fn quote(text: &str) -> String {
    match text.char_indices().nth(MAX_QUOTED_CHARS) {
        Some((end, _)) => format!("{:?}...", &text[..end]),
        None => format!("{text:?}"),
    }
}

impl<'a> Field<'a> {
    /// The value without the white space behind it.
    fn value(&self) -> &'a str {
        self.comment[self.value_range.clone()].trim_end()
    }

    fn number(&self) -> Result<u64, String> {
        let (name, value) = (String::from_utf8_lossy(self.name), self.value());
        value.parse().map_err(|_| format!("{name}={} is no number", quote(value)))
    }
}

impl Statement {
    /// Parses the leading comment; the error says what is wrong with it.
    pub fn parse(text: String) -> Result<Statement, String> {
        let lead = text.len() - text.trim_start().len();
        let open = text[lead..].strip_prefix("/*").ok_or("no comment leads the statement")?;
        let end = open.find("*/").ok_or("the comment is not closed")?;
        let comment_start = lead + 2;
        let mut id = None;
        let mut class = None;
        let mut deadline = None;
        let mut group = None;
        let mut after_ms = None;
        let mut keyed = false;
        let mut client_retry = false;
        let mut tenant = None;
        for field in fields(&open[..end]) {
            let field = field.map_err(|NoField(part)| format!("the comment holds {}", quote(part)))?;
            match field.name {
                // Guards against proxy and host using different ones of two ids.
                b"id" if id.is_some() => return Err("the comment has two ids".into()),
                b"id" => id = Some(field.value()).filter(|id| !id.is_empty()),
                b"c" => class = Some(field.value()),
                b"d" => {
                    let start = comment_start + field.value_range.start;
                    deadline = Some((field.number()?, start..start + field.value().len()));
                }
                b"cluster" => {
                    let n = field.number()?;
                    group = Some(u32::try_from(n).map_err(|_| format!("cluster={n} is no group"))?);
                }
                b"after" => after_ms = Some(field.number()?),
                b"k" => keyed = !field.value().is_empty(),
                b"r" => client_retry = field.value() == "1",
                b"t" => tenant = Some(field.value()),
                _ => {}
            }
        }
        let (deadline_ms, deadline_range) = deadline.ok_or("the comment has no d")?;
        Ok(Statement {
            id: id.ok_or("the comment has no id")?.to_string(),
            class: class.ok_or("the comment has no c")?.to_string(),
            group: group.ok_or("the comment has no cluster")?,
            tenant: tenant.map(str::to_string),
            deadline_ms,
            after_ms,
            deadline_range: Some(deadline_range),
            keyed,
            client_retry,
            text,
        })
    }

    /// A plain statement; its terms come from the operator's rules.
    pub fn plain(text: String, deadline_ms: u64, group: u32) -> Statement {
        Statement {
            text,
            deadline_range: None,
            keyed: false,
            id: String::new(),
            class: String::new(),
            deadline_ms,
            group,
            after_ms: None,
            client_retry: false,
            tenant: None,
        }
    }

    /// Whether the statement has no comment with its terms.
    pub fn is_plain(&self) -> bool {
        self.deadline_range.is_none()
    }

    /// Whether a text begins with a comment that has at least two of the required keys, valid or not. Guards against
    /// treating a request with a faulty comment as a plain statement, which would ignore its terms.
    pub fn has_request_comment(text: &str) -> bool {
        const REQUIRED_KEYS: [&[u8]; 4] = [b"id", b"c", b"d", b"cluster"];
        let Some(comment) = text.trim_start().strip_prefix("/*") else { return false };
        let comment = comment.split("*/").next().unwrap_or("");
        let mut has_key = [false; REQUIRED_KEYS.len()];
        for field in fields(comment).flatten() {
            if let Some(key) = REQUIRED_KEYS.iter().position(|key| *key == field.name) {
                has_key[key] = true;
            }
            if has_key.iter().filter(|has_key| **has_key).count() >= 2 {
                return true;
            }
        }
        false
    }

    /// The text as the client sent it.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The position of the value of `d` in the text; `None` in a plain statement.
    pub fn deadline_range(&self) -> Option<&Range<usize>> {
        self.deadline_range.as_ref()
    }

    /// The first quoted literal after the value of `d`, which names the session; empty if there is none.
    pub fn session_key(&self) -> &str {
        let start = self.deadline_range.as_ref().map_or(0, |range| range.end);
        self.text[start..].split('\'').nth(1).unwrap_or("")
    }
}
