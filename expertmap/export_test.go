package expertmap

import "os"

// NewTestPlanner returns a planner in which the mechanism named by the
// environment variable BBW_WITHOUT is disabled. The tests of that mechanism
// must then fail, which shows that they cover it.
func NewTestPlanner() *Planner {
	without := os.Getenv("BBW_WITHOUT")
	return &Planner{noHysteresis: without == "hysteresis", noRepair: without == "repair"}
}
