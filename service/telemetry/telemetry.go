// Package telemetry serves the metrics of a process in the text format of Prometheus.
package telemetry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/pprof"
	"strings"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"peridotpick.example/service/intake"
)

// Path is the URL path of the metrics.
const Path = "/metrics"

// quantiles are the quantiles that are written for each histogram.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Serve serves the metrics of a registry at an IP:port until ctx ends. If profiles is true, it also
// serves CPU and heap profiles of the process under /debug/pprof/.
func Serve(ctx context.Context, address string, registry metrics.Registry, profiles bool, log zerolog.Logger) error {
	settings := intake.Settings{Name: "metrics", Limits: intake.ProbeLimits}
	l, err := intake.Listen(address, settings, registry, log)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc(Path, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		Write(w, registry)
	})
	if profiles {
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	}
	server := intake.NewServer(mux)
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(l); ctx.Err() == nil {
		return eris.Wrap(err, "serve metrics")
	}
	return nil
}

// Write writes all metrics of a registry. Write errors are ignored, since the reader may
// disconnect.
func Write(w io.Writer, registry metrics.Registry) {
	registry.Each(func(name string, metric any) {
		name = "peridotpick_" + strings.NewReplacer(".", "_", "-", "_", " ", "_").Replace(name)
		switch m := metric.(type) {
		case metrics.Counter:
			_, _ = fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", name, name, m.Count())
		case metrics.Gauge:
			_, _ = fmt.Fprintf(w, "# TYPE %s gauge\n%s %d\n", name, name, m.Value())
		case metrics.Histogram:
			writeHistogram(w, name, m.Snapshot())
		}
	})
}

func writeHistogram(w io.Writer, name string, h metrics.Histogram) {
	_, _ = fmt.Fprintf(w, "# TYPE %s summary\n", name)
	for i, value := range h.Percentiles(quantiles) {
		_, _ = fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, quantiles[i], value)
	}
	_, _ = fmt.Fprintf(w, "%s_sum %d\n%s_count %d\n", name, h.Sum(), name, h.Count())
}

// sampleSize and sampleAlpha are the parameters of the exponentially decaying samples of
// histograms, which are biased to the last minutes.
const (
	sampleSize  = 512
	sampleAlpha = 0.015
)

// Histogram returns the registry's histogram with the given name, and creates it if it is missing.
func Histogram(name string, registry metrics.Registry) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

// IncCounter increments the registry's counter with the given name.
func IncCounter(name string, registry metrics.Registry) {
	metrics.GetOrRegisterCounter(name, registry).Inc(1)
}

// SetGauge sets the registry's gauge with the given name.
func SetGauge(name string, registry metrics.Registry, value int64) {
	metrics.GetOrRegisterGauge(name, registry).Update(value)
}
