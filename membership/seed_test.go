package membership

import "flag"

// init fixes the seed, so that rapid draws the same inputs on every run. The
// command-line flag -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261203") }
