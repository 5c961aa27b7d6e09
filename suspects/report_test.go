package suspects

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The report of a crash was lost if the bound on the name of the zone cut a character: what
// was left could not be encoded.
func TestLongZoneOfAReportIsCutBetweenCharacters(t *testing.T) {
	for _, zone := range []string{strings.Repeat("ö", maxZoneBytes), "a" + strings.Repeat("ö", maxZoneBytes), "b\xff" + strings.Repeat("x", maxZoneBytes)} {
		r := NewReport(1, time.Unix(1000, 0), zone, ServerCrashed, nil)
		data, err := r.Encode()
		assert.NilError(t, err, "%q", r.Zone)
		decoded, err := Decode(data)
		assert.NilError(t, err)
		assert.Equal(t, decoded.Zone, r.Zone)
		assert.Assert(t, len(r.Zone) > maxZoneBytes/2 && len(r.Zone) <= maxZoneBytes)
	}
}
