package leases

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLeasesEndBeforeTheResend(t *testing.T) {
	is := is.New(t)
	for _, resend := range []time.Duration{900 * time.Millisecond, 1300 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
		for _, longest := range []time.Duration{0, time.Second} {
			l := ForResend(resend, 50*time.Millisecond, longest)
			is.True(l.Owner+l.RunExpiry <= resend)
			is.True(longest == 0 || l.Worker <= longest)
			is.True(l.Worker > 0)
		}
	}
}
