//! `cargo bench --bench policy`: compares the policies of docs/design/policy.md.

use buckthornfall_bench::{compare, Scenario};

#[allow(clippy::print_stdout)]
fn main() {
    for scenario in Scenario::all() {
        println!("\n{}", compare(&scenario).describe());
    }
}
