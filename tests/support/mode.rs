//! Fault modes of the table.

/// How the table handles transactions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TableMode {
    /// Responds after a few milliseconds.
    #[default]
    Up,
    /// Refuses all transactions; none takes effect.
    Down,
    /// Transactions take effect, but their responses are lost; the outcome is known after this many
    /// milliseconds.
    LosesResponses(u64),
    /// Transactions take effect, and are responded to, only after this many milliseconds.
    DelaysCommits(u64),
}
