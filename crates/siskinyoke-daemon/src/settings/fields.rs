//! The fields of a settings file and what each may hold.

use super::form::Field;
use super::form::Form;

/// The fields of a settings file.
pub const FIELDS: &[Field] = &[
    needed("instance", Form::Name),
    needed("centre", Form::Name),
    needed("callers", Form::Object(CALLERS)),
    needed("peers", Form::Object(PEERS)),
    needed("platform", Form::Object(PLATFORM)),
    optional("work", Form::Object(WORK)),
];

/// The most bytes of a header section; past it the library answers before a code can be given.
const HEAD_MAX: u64 = 64 << 10;

/// The most bytes of a body or an answer held whole; entry instances are small.
const BODY_MAX: u64 = 1 << 30;

/// The longest time in milliseconds that anything is waited for: a day.
const DAY: u64 = 24 * 60 * 60 * 1000;

/// The longest time in milliseconds for what usually takes milliseconds.
const MINUTE: u64 = 60 * 1000;

/// The most connections; the usual limits for open files end below it.
const CONNECTIONS_MAX: u64 = 1_000_000;

const CALLERS: &[Field] = &[
    needed("listen", Form::Listen),
    optional("address", Form::Address),
    optional("connections", Form::Number(1..=CONNECTIONS_MAX)),
    optional("head", Form::Number(256..=HEAD_MAX)),
    optional("body", Form::Number(1..=BODY_MAX)),
    optional("patience", Form::Number(1..=10 * MINUTE)),
];

const PEERS: &[Field] = &[
    needed("listen", Form::IpListen),
    optional("address", Form::IpAddress),
    optional("seeds", Form::List(&Form::Object(SEED))),
];

const SEED: &[Field] = &[
    needed("instance", Form::Name),
    needed("centre", Form::Name),
    needed("peer", Form::IpAddress),
    needed("caller", Form::Address),
];

const PLATFORM: &[Field] = &[
    needed("kv", Form::Some(&Form::Address)),
    optional("instances", Form::Url),
    optional("limit", Form::Number(1..=MINUTE)),
];

const WORK: &[Field] = &[
    optional("run", Form::Number(1..=DAY)),
    optional("connect", Form::Number(1..=MINUTE)),
    optional("answer", Form::Number(1..=BODY_MAX)),
];

const fn needed(name: &'static str, form: Form) -> Field {
    Field {
        name,
        needed: true,
        form,
    }
}

const fn optional(name: &'static str, form: Form) -> Field {
    Field {
        name,
        needed: false,
        form,
    }
}
