//! The transaction that a session asked for and did not get. It owns whether the session stands in it. It must never
//! let a statement through that its client believes to be inside: each would be committed by itself, and a ROLLBACK
//! would take nothing back.

use sillfold_sql::TransactionControl;

/// Where a session stands, as PostgreSQL has it after an error in a transaction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TransactionState {
    /// In no transaction.
    #[default]
    Idle,
    /// In one that was refused: all that follows is too, up to its end.
    Refused,
}

/// What becomes of a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionStep {
    /// It is treated as any other.
    Process,
    /// It is refused unread, being inside.
    Refuse,
    /// It ends the transaction, of which nothing has run.
    End,
}

impl TransactionState {
    /// A text comes; `control` is the last word on transactions in it.
    pub fn advance(&mut self, control: Option<TransactionControl>) -> TransactionStep {
        match (*self, control) {
            (TransactionState::Idle, Some(TransactionControl::Begin)) => {
                *self = TransactionState::Refused;
                // Refused too, with its own reason.
                TransactionStep::Process
            }
            (TransactionState::Idle, _) => TransactionStep::Process,
            (TransactionState::Refused, Some(TransactionControl::End)) => {
                *self = TransactionState::Idle;
                TransactionStep::End
            }
            (TransactionState::Refused, _) => TransactionStep::Refuse,
        }
    }
}
