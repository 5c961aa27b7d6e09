package panics_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"bluebellwind.example/internal/panics"
)

// A panic must become an error that names the work and shows the stack.
func TestPanicBecomesAnError(t *testing.T) {
	before := panics.Count()
	err := panics.Do("the test", func() { panic("cause") })
	var caught *panics.Error
	assert.Assert(t, errors.As(err, &caught))
	assert.ErrorContains(t, err, "panic in the test: cause\n")
	assert.ErrorContains(t, err, "TestPanicBecomesAnError")
	assert.Equal(t, panics.Count(), before+1)
	assert.NilError(t, panics.Do("the test", func() {}))
}
