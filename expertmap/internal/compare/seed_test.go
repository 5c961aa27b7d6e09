package compare

import "flag"

// The fixed seed makes property tests generate the same cases on every run. The
// command-line flag is parsed later and overrides it.
func init() { _ = flag.Set("rapid.seed", "20261203") }
