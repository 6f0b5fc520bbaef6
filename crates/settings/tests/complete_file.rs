//! Round trip of a settings file with every field and every bound: it is decoded, compared with the expected values, and
//! encoded again.

use indigofold_settings::{
    BindAddresses, Bounds, CallerKind, FaultTolerance, Limits, MachineClass, OrderDelivery,
    PortRange, Settings,
};
use toml::{Table, Value};

/// A settings file with every field, each with a value other than its default.
const COMPLETE: &str = r#"
node_name = "core-north-2"
role = "keeper"
machine_class = "core"
serves = ["control", "side"]
ip = "10.9.0.2"
zone = "north"
region = "coast"
port_range = [7100, 7120]
seed_nodes = ["10.9.0.2:8200", "10.9.1.2:8200"]
bootstrap = true
counts_for_quorum = true
data_dir = "/var/lib/cluster"
heartbeat_ms = 700
contracts = ["base", "drain"]
commands = "invocation"
app = "10.9.0.2:8300"
backend = "resize"
[zones]
north = "coast"
south = "hills"
[bind_addrs]
frontend = "10.9.0.2:8210"
readiness = "10.9.0.2:8211"
control_plane = "10.9.0.2:8200"
[limits]
cpu_share = 0.5
cores = 2
memory_mb = 300
max_fds = 900
link_mbps = 250.5
disk_mb = 64
[fault_tolerance]
machines = 2
zones = 1
regions = 3
[bounds]
seed_lag_s = 31
reuse_after_s = 32
liveness_ms = 33
ack_timeout_ms = 34
catch_up_s = 35
drain_ms = 36
grace_s = 37
loss_slack_ms = 38
config_apply_ms = 39
rollback_slack_ms = 40
max_skew_ms = 41
recovery_s = 42
max_hold_ms = 43
stop_ms = 44
gang_ms = 45
cancel_ms = 46
visible_ms = 47
early_ms = 48
finish_s = 49
status_s = 50
far_x = 51.25
save_s = 52
restore_ms = 53
"#;

/// The bounds that [`COMPLETE`] decodes to.
fn expected_bounds() -> Bounds {
    Bounds {
        seed_lag_s: 31.0,
        reuse_after_s: 32.0,
        liveness_ms: 33.0,
        ack_timeout_ms: 34.0,
        catch_up_s: 35.0,
        drain_ms: 36.0,
        grace_s: 37.0,
        loss_slack_ms: 38.0,
        config_apply_ms: 39.0,
        rollback_slack_ms: 40.0,
        max_skew_ms: 41.0,
        recovery_s: 42.0,
        max_hold_ms: 43.0,
        stop_ms: 44.0,
        gang_ms: 45.0,
        cancel_ms: 46.0,
        visible_ms: 47.0,
        early_ms: 48.0,
        finish_s: 49.0,
        status_s: 50.0,
        far_x: 51.25,
        save_s: 52.0,
        restore_ms: 53.0,
    }
}

/// The settings that [`COMPLETE`] decodes to.
fn expected_settings() -> Settings {
    let text = |text: &str| text.to_owned();
    Settings {
        node_name: text("core-north-2"),
        role: text("keeper"),
        machine_class: MachineClass::Core,
        serves: vec![CallerKind::Control, CallerKind::Side],
        ip: [10, 9, 0, 2].into(),
        zone: text("north"),
        region: text("coast"),
        port_range: PortRange {
            first: 7_100,
            last: 7_120,
        },
        seed_nodes: vec![([10, 9, 0, 2], 8_200).into(), ([10, 9, 1, 2], 8_200).into()],
        bootstrap: true,
        counts_for_quorum: true,
        data_dir: Some("/var/lib/cluster".into()),
        heartbeat_ms: 700,
        contracts: vec![text("base"), text("drain")],
        commands: OrderDelivery::Invocation,
        app: Some(([10, 9, 0, 2], 8_300).into()),
        backend: Some(text("resize")),
        zones: [("north", "coast"), ("south", "hills")]
            .map(|(zone, region)| (text(zone), text(region)))
            .into(),
        bind_addrs: BindAddresses {
            frontend: Some(([10, 9, 0, 2], 8_210).into()),
            readiness: Some(([10, 9, 0, 2], 8_211).into()),
            control_plane: Some(([10, 9, 0, 2], 8_200).into()),
        },
        limits: Limits {
            cpu_share: 0.5,
            cores: 2.0,
            memory_mb: 300,
            max_fds: 900,
            link_mbps: 250.5,
            disk_mb: 64,
        },
        fault_tolerance: FaultTolerance {
            machines: 2,
            zones: 1,
            regions: 3,
        },
        bounds: expected_bounds(),
    }
}

/// Returns the value with all integers converted to floats, because a number may be written in either form.
fn with_fractions(value: Value) -> Value {
    match value {
        Value::Integer(number) => Value::Float(number as f64),
        Value::Array(values) => Value::Array(values.into_iter().map(with_fractions).collect()),
        Value::Table(fields) => fields
            .into_iter()
            .map(|(name, value)| (name, with_fractions(value)))
            .collect::<Table>()
            .into(),
        other => other,
    }
}

#[test]
fn a_complete_settings_file_is_encoded_unchanged() {
    let settings = Settings::from_toml(COMPLETE).expect("the settings are valid");
    assert_eq!(settings, expected_settings());
    let encoded = Value::try_from(&settings).expect("the settings can be encoded as TOML");
    let written: Table = COMPLETE.parse().expect("the file is valid TOML");
    assert_eq!(with_fractions(encoded), with_fractions(written.into()));
}

#[test]
fn every_bound_has_a_field_in_the_file() {
    let file: Table = COMPLETE.parse().expect("the file is valid TOML");
    let defaults = Value::try_from(Bounds::default()).expect("the bounds can be encoded as TOML");
    let names = |table: &Table| table.keys().cloned().collect::<Vec<_>>();
    let (Some(written), Some(known)) = (file["bounds"].as_table(), defaults.as_table()) else {
        panic!("`bounds` is not a table in the file or in the encoded defaults");
    };
    assert_eq!(names(written), names(known));
}
