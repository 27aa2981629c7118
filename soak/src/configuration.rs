//! The configuration used by the soak and the end-to-end tests.

const CONFIGURATION_TEMPLATE: &str = r#"{"Version":VERSION,"Routes":[
 {"Name":"safe","Host":"h.example","Prefix":"/safe/","Kind":"safe","TimeoutMs":4000,
  "TargetLatencyMs":2000,"Priority":0,"Service":"lm","MaxAttempts":2},
 {"Name":"once","Host":"h.example","Prefix":"/once/","Kind":"unsafe","TimeoutMs":4000,
  "TargetLatencyMs":2000,"Priority":0,"Service":"lm","MaxAttempts":2},
 {"Name":"short","Host":"h.example","Prefix":"/short/","Kind":"unsafe","TimeoutMs":300,
  "TargetLatencyMs":200,"Priority":0,"Service":"lm","MaxAttempts":1},
 {"Name":"stream","Host":"h.example","Prefix":"/stream/","Kind":"stream","TimeoutMs":4000,
  "TargetLatencyMs":2000,"Priority":0,"Service":"lm","MaxAttempts":2,"Resumable":true},
 {"Name":"single","Host":"h.example","Prefix":"/single/","Kind":"stream","TimeoutMs":4000,
  "TargetLatencyMs":2000,"Priority":0,"Service":"lm","MaxAttempts":2}],
 "Services":[{"Name":"lm","MaxConns":100}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1000,"HeaderTimeoutMs":3000,
  "IdleTimeoutMs":15000},
 "Tenants":[{"Name":"school","ApiKeys":["KEY"]}]}"#;

/// Returns the configuration with the given version and a single API key.
pub fn text(version: u64, key: &str) -> String {
    CONFIGURATION_TEMPLATE
        .replace("VERSION", &version.to_string())
        .replace("KEY", key)
}
