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

const CHAT_ROUTE: &str = r#"
 {"Name":"chat","Host":"h.example","Prefix":"/chat/","Kind":"stream","TimeoutMs":4000,
  "TargetLatencyMs":2000,"Priority":0,"Service":"chat","MaxAttempts":2,"Resumable":true},"#;

const CHAT_SERVICE: &str = r#"{"Name":"chat","MaxConns":100},"#;

/// Returns the configuration with the given version and a single API key.
pub fn text(version: u64, key: &str) -> String {
    CONFIGURATION_TEMPLATE
        .replace("VERSION", &version.to_string())
        .replace("KEY", key)
}

/// Returns the configuration with a route of resumable streams to a further service, `chat`.
pub fn text_with_chat(version: u64, key: &str) -> String {
    text(version, key)
        .replacen("\"Routes\":[", &format!("\"Routes\":[{CHAT_ROUTE}"), 1)
        .replacen(
            "\"Services\":[",
            &format!("\"Services\":[{CHAT_SERVICE}"),
            1,
        )
}

/// Returns the configuration with another limit on the size of request bodies, in bytes.
pub fn text_with_body_limit(version: u64, key: &str, bytes: usize) -> String {
    let limit = format!("\"MaxBodyBytes\":{bytes}");
    text(version, key).replacen("\"MaxBodyBytes\":1000", &limit, 1)
}

/// Returns the configuration with a number of further routes.
pub fn text_with_routes(version: u64, key: &str, count: usize) -> String {
    let routes: String = (0..count).map(further_route).collect();
    text(version, key).replacen("\"Routes\":[", &format!("\"Routes\":[{routes}"), 1)
}

// Returns a route with names that hardly compress, as operators' generated names do.
fn further_route(number: usize) -> String {
    let name = (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!(
        r#"{{"Name":"r-{name:x}","Host":"h.example","Prefix":"/further/{name:x}/","Kind":"safe",
  "TimeoutMs":4000,"TargetLatencyMs":2000,"Priority":0,"Service":"lm","MaxAttempts":2}},"#
    )
}
