//! Runs the scripted scenarios: data files over cores in virtual time.

use siskinyoke_tests::Script;

#[test]
fn scenarios() {
    datadriven::walk("scenarios", |file| {
        let mut script = Script::default();
        file.run(|case| script.run(case));
    });
}
