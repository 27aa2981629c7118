//! Prints the slopes behind `docs/CAPACITY.md`.

fn main() {
    println!("see --help");
}
