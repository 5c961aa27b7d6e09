package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/internal/config"
)

// Answers may be cut only in the last sixth of the grace period. With a short one they
// were cut sooner.
func TestDrainLastsIntoTheLastSixthOfTheGrace(t *testing.T) {
	for _, grace := range []float64{2, 3, 4, 8, 20} {
		limits := gatewayLimits(&config.Node{Bounds: config.Bounds{GraceS: grace}})
		whole := time.Duration(grace * float64(time.Second))
		assert.Check(t, limits.DrainTimeout >= whole*5/6, "grace %v, drain %v", whole, limits.DrainTimeout)
		assert.Check(t, limits.DrainTimeout < whole, "grace %v, drain %v", whole, limits.DrainTimeout)
	}
}
