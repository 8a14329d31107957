package failover

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestInvalidTimingIsRefused(t *testing.T) {
	for name, refused := range map[string]struct {
		timing Timing
		remedy string
	}{
		"lease longer than LongestLease": {Timing{Lease: 2 * time.Second, LongestLease: time.Second}, "raise LongestLease"},
		"margin as long as the lease":    {Timing{Lease: time.Second, Margin: time.Second}, "shorten Margin"},
		"heartbeat interval too long":    {Timing{Lease: time.Second, Heartbeat: 900 * time.Millisecond}, "shorten Heartbeat"},
	} {
		_, err := New(Config{Timing: refused.timing})
		must.ErrorContains(t, err, refused.remedy, must.Sprint(name))
	}
	must.NoError(t, Timing{}.withDefaults().validate())
}
