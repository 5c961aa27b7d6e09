package rules

import "flag"

// The fixed seed makes the generated inputs the same on every run. The flag
// rapid.seed still overrides it.
func init() { _ = flag.Set("rapid.seed", "20261203") }
