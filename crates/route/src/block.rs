//! The transaction that a session asked for and did not get. It owns whether the session stands in it. It must never
//! let a statement through that its client believes to be inside: each would be committed by itself, and a ROLLBACK
//! would take nothing back.

use sillfold_sql::Control;

/// Where a session stands, as PostgreSQL has it after an error in a transaction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Block {
    /// In no transaction.
    #[default]
    Idle,
    /// In one that was refused: all that follows is too, up to its end.
    Refused,
}

/// What becomes of a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Met {
    /// It is treated as any other.
    Passes,
    /// It is refused unread, being inside.
    Inside,
    /// It ends the transaction, of which nothing has run.
    Ended,
}

impl Block {
    /// A text comes; `control` is the last word on transactions in it.
    pub fn meets(&mut self, control: Option<Control>) -> Met {
        match (*self, control) {
            (Block::Idle, Some(Control::Begins)) => {
                *self = Block::Refused;
                // Refused too, with its own reason.
                Met::Passes
            }
            (Block::Idle, _) => Met::Passes,
            (Block::Refused, Some(Control::Ends)) => {
                *self = Block::Idle;
                Met::Ended
            }
            (Block::Refused, _) => Met::Inside,
        }
    }
}
