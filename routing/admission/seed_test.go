package admission

import "flag"

// The fixed seed makes the generated test cases the same on every run; the flag
// -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261203") }
