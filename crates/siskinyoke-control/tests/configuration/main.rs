//! Tests of the configuration: its check, scripted failures and random histories.

#[path = "../common/fake_platform.rs"]
mod fake_platform;
mod files;
mod history;
mod scenarios;
mod spread;
mod world;
