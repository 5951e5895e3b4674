//! Deliberate faults of the program, one at a time. Tests turn one on to show that a check detects it. This module owns the
//! name of the active one. Without the feature `mutants`, which only tests enable, no fault is ever active, and the
//! compiler removes the code that asks.

#[cfg(feature = "mutants")]
thread_local! {
    static ACTIVE: std::cell::Cell<&'static str> = const { std::cell::Cell::new("") };
}

/// Activates the fault of this name for the program on this thread. An empty name deactivates all faults.
#[cfg(feature = "mutants")]
pub fn set(name: &'static str) {
    ACTIVE.set(name);
}

/// Whether the fault of this name is active.
#[cfg(feature = "mutants")]
pub fn on(name: &str) -> bool {
    ACTIVE.get() == name
}

/// No fault is ever active.
#[cfg(not(feature = "mutants"))]
#[inline(always)]
pub const fn on(_name: &str) -> bool {
    false
}
