//! `cargo bench --bench policy`: the policies of docs/design/policy.md, compared.

use buckthornfall_bench::{compare, Scenario};

#[allow(clippy::print_stdout)]
fn main() {
    for scenario in Scenario::all() {
        println!("\n{}", compare(&scenario).describe());
    }
}
