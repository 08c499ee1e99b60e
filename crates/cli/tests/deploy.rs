//! Checks `deploy/balancer.toml` and the binary against the operators' requirements on `build` and `run`.

use std::path::Path;

fn deploy() -> toml::Table {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/balancer.toml");
    std::fs::read_to_string(path).unwrap().parse().unwrap()
}

fn words(deploy: &toml::Table, key: &str) -> Vec<String> {
    deploy[key].as_str().unwrap().split(' ').map(str::to_string).collect()
}

#[test]
fn run_execs_the_binary_that_build_makes() {
    let deploy = deploy();
    let run = words(&deploy, "run");
    assert_eq!(run, ["exec", "target/release/shalespindle", "live"]);
    let build = words(&deploy, "build");
    assert_eq!(build[..4], ["cargo", "build", "--release", "--locked"]);
    assert!(build.windows(2).any(|w| w == ["--package", "shalespindle"]), "{build:?}");
    // No shell syntax that would start further processes.
    for key in ["run", "sim", "build"] {
        assert!(!deploy[key].as_str().unwrap().contains(['&', '|', ';', '$', '`', '(']), "{key}");
    }
}

/// A dynamically linked ELF file names its interpreter in a program header; a static one has none.
#[test]
fn the_binary_is_linked_dynamically_against_the_c_library() {
    let bytes = std::fs::read(env!("CARGO_BIN_EXE_shalespindle")).unwrap();
    assert_eq!(bytes[..5], *b"\x7fELF\x02", "a 64-bit ELF file");
    let read_number = |at: usize, size: usize| {
        bytes[at..at + size].iter().rev().fold(0_usize, |n, b| n << 8 | usize::from(*b))
    };
    let (table, size, count) = (read_number(0x20, 8), read_number(0x36, 2), read_number(0x38, 2));
    let interpreter = (0..count).map(|n| table + n * size).find(|at| read_number(*at, 4) == 3);
    let at = interpreter.expect("no interpreter: linked statically");
    let (from, length) = (read_number(at + 0x08, 8), read_number(at + 0x20, 8));
    let name = std::str::from_utf8(&bytes[from..from + length]).unwrap();
    assert!(name.contains("ld-linux"), "{name}");
    assert!(bytes.windows(10).any(|w| w == b"libc.so.6\0"));
}
