//! Fakes and helpers shared by the system's tests.
