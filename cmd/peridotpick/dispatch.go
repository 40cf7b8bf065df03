package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"peridotpick.example/common/errkind"
	"peridotpick.example/common/logs"
	"peridotpick.example/core/admission"
	core "peridotpick.example/core/batch"
	"peridotpick.example/core/ledger"
	"peridotpick.example/platform/boot"
	"peridotpick.example/platform/ingress"
	"peridotpick.example/platform/store"
	"peridotpick.example/service/batch"
	"peridotpick.example/service/telemetry"
	"peridotpick.example/service/transport"
)

// profileFlag enables CPU and heap profiles at the address of the metrics. They are disabled by
// default, because taking one costs CPU time and whoever can read the metrics could take one.
const profileFlag = "profile"

// priorityFloorFlag sets what less urgent queues keep under overload.
const priorityFloorFlag = "priority-floor"

func dispatchCommand() *cli.Command {
	return &cli.Command{
		Name: "dispatch", Usage: "run an entry on the users' platform, until SIGTERM",
		Description: "Reads the platform's settings file, whose path is in " + boot.PathVariable + ".",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: profileFlag, Usage: "serve CPU and heap profiles at the address of the metrics, under /debug/pprof/"},
			&cli.FloatFlag{
				Name: priorityFloorFlag, Value: admission.DefaultFloor,
				Usage: "share of the served work of more urgent queues that a less urgent one keeps under overload, 0 to 1",
			},
		},
		Action: runDispatch,
	}
}

// runDispatch runs an entry until ctx ends and, after that, the open requests of callers have ended
// or the grace period is over. The metrics are served until then.
func runDispatch(ctx context.Context, command *cli.Command) error {
	floor := command.Float(priorityFloorFlag)
	if floor < 0 || floor > 1 {
		return errkind.NewField(errkind.InvalidRequest, "--"+priorityFloorFlag, fmt.Sprintf("%g: from 0 to 1", floor))
	}
	file, err := boot.Load()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(file.RuntimeMemory(file.CallerLimits().Connections))
	sink := logs.New(os.Stdout, zerolog.InfoLevel)
	defer func() { _ = sink.Close() }()
	registry := metrics.NewRegistry()
	e, err := batch.New(dispatchSettings(file, floor), batch.Deps{
		Logs: sink, Transport: transport.New(nil), Store: store.New(file.Platform.Address, sink.For(logs.Entry)), Metrics: registry,
	})
	if err != nil {
		return err
	}
	callers := ingress.New(e, ingress.Settings{
		MaxRowBytes: file.Platform.RowBytes, Limits: file.CallerLimits(), Metrics: registry,
	}, sink.For(logs.HTTP))
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, _ := errgroup.WithContext(serveCtx)
	group.Go(func() error { return e.Run(serveCtx) })
	group.Go(func() error {
		return telemetry.Serve(serveCtx, file.MetricsAddress(), registry, command.Bool(profileFlag), sink.For(logs.Entry))
	})
	group.Go(func() error {
		defer stop()
		return callers.Serve(ctx, file.Listen.Callers, file.Listen.Ready, file.GracePeriod())
	})
	return group.Wait()
}

// Settings of an entry that the platform's settings file does not contain.
const (
	// ownershipTTL is how long an ownership confirmation is valid. It is longer than the usual
	// outages of the store, 4.5 s; a longer outage stops the durable jobs of the entries that it
	// affects.
	ownershipTTL = 5500 * time.Millisecond
	// ownerSilenceTimeout is the silence after which another entry counts as gone: five missed
	// messages between entries.
	ownerSilenceTimeout = 2 * time.Second
	// retentionSlack is how much longer than the platform requires the state of an ended job is
	// kept, so that callers who ask a little late still get it.
	retentionSlack = 5 * time.Second
	// maxOpenJobs limits the number of an entry's durable jobs that have not ended. Each takes at
	// most about 10 KB.
	maxOpenJobs = 5000
	// writeShare is the fraction of the store's writes per second that durable jobs may use. The
	// rest is left to the registry and to operators.
	writeShare = 0.8
)

// dispatchSettings returns the settings of an entry from the platform's settings file and the floor of
// less urgent queues.
func dispatchSettings(file *boot.File, priorityFloor float64) batch.Settings {
	coreSettings := core.DefaultSettings()
	coreSettings.PriorityFloor = priorityFloor
	coreSettings.DataCentre = file.DataCentre
	leaseTimes := file.Leases()
	coreSettings.OwnerLease, coreSettings.WorkerLease = leaseTimes.Owner, leaseTimes.RunExpiry
	coreSettings.RemoteFactor = file.Bounds.RemoteFactor
	return batch.Settings{
		WritesPerSecond: file.Platform.WritesPerSecond * writeShare,
		Ledger: ledger.Settings{
			OwnershipTTL: ownershipTTL, RunExpiry: leaseTimes.Owner + leaseTimes.RunExpiry, SilenceTimeout: ownerSilenceTimeout,
			EndedRetention: file.JobRetention() + retentionSlack, MaxRowBytes: file.Platform.RowBytes, MaxOpenJobs: maxOpenJobs,
		},
		Name: file.Name, Address: file.InternalAddress(file.IP), Seeds: file.EntrySeeds(),
		Core: coreSettings,
	}
}
