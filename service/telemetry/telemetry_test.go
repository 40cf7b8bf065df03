package telemetry

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

func TestWritesEachKind(t *testing.T) {
	is := is.New(t)
	r := metrics.NewRegistry()
	Count("jobs.admit", r)
	Count("jobs.admit", r)
	Gauge("workers", r, 11)
	Histogram("job ms", r).Update(7)
	var b strings.Builder
	Write(&b, r)
	for _, line := range []string{"peridotpick_jobs_admit 2\n", "peridotpick_workers 11\n", "peridotpick_job_ms{quantile=\"0.5\"} 7\n", "peridotpick_job_ms_count 1\n"} {
		is.True(strings.Contains(b.String(), line))
	}
}
