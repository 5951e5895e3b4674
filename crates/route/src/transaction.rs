//! The state of a session whose BEGIN was refused. Pure: the caller passes what a text says about transactions and
//! acts on the returned step. It must never let a statement through that its client believes to be inside the
//! transaction: each statement would be committed by itself, and a ROLLBACK would undo nothing.

use sillfold_sql::TransactionControl;

/// The transaction state of a session, as PostgreSQL has it after an error inside a transaction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TransactionState {
    /// The session is in no transaction.
    #[default]
    Idle,
    /// The session's transaction was refused. All statements up to its end are refused too.
    Refused,
}

/// How to handle a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionStep {
    /// Handle it like any other text.
    Process,
    /// Refuse it without reading it: it is inside the refused transaction.
    Refuse,
    /// Acknowledge the end of the transaction, of which nothing has run.
    End,
}

impl TransactionState {
    /// Advances the state by a text. `control` is the last transaction control that the text contains.
    pub fn advance(&mut self, control: Option<TransactionControl>) -> TransactionStep {
        match (*self, control) {
            (TransactionState::Idle, Some(TransactionControl::Begin)) => {
                *self = TransactionState::Refused;
                // The BEGIN itself is refused by the router, with the router's own reason.
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
