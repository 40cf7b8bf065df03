package main

import (
	"context"
	"os"
	"runtime/debug"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"peridotpick.example/common/logs"
	core "peridotpick.example/core/runner"
	"peridotpick.example/platform/boot"
	"peridotpick.example/platform/store"
	"peridotpick.example/platform/worker"
	"peridotpick.example/service/runner"
	"peridotpick.example/service/telemetry"
	"peridotpick.example/service/transport"
)

// profileFlag enables CPU and heap profiles at the address of the metrics. They are disabled by
// default, because taking one costs CPU time and whoever can read the metrics could take one.
const profileFlag = "profile"

func superviseCommand() *cli.Command {
	return &cli.Command{
		Name: "supervise", Usage: "run an agent on the users' platform, until SIGTERM",
		Description: "Reads the platform's settings file, whose path is in " + boot.PathVariable + ".",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: profileFlag, Usage: "serve CPU and heap profiles at the address of the metrics, under /debug/pprof/"},
		},
		Action: runSupervise,
	}
}

// runSupervise runs an agent until ctx ends and it has drained. The metrics and the announcements
// of the backend server are served until then.
func runSupervise(ctx context.Context, command *cli.Command) error {
	file, err := boot.Load()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(file.RuntimeMemory(file.AnnouncementLimits().Connections))
	sink := logs.New(os.Stdout, zerolog.InfoLevel)
	defer func() { _ = sink.Close() }()
	log := sink.For(logs.Agent)
	registry := metrics.NewRegistry()
	a := runner.New(superviseSettings(file), runner.Deps{
		Logs: sink, Transport: transport.New(nil), Registry: store.New(file.Platform.Address, log),
		Metrics: registry,
		Worker:  worker.New(file.BackendServer, core.DefaultSettings().PollWait, log),
	})
	announcements := worker.NewAnnouncements(file.Name, a, log)
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, _ := errgroup.WithContext(serveCtx)
	group.Go(func() error {
		return telemetry.Serve(serveCtx, file.MetricsAddress(), registry, command.Bool(profileFlag), log)
	})
	group.Go(func() error {
		return announcements.Serve(serveCtx, file.Listen.Announce, file.AnnouncementLimits(), registry)
	})
	group.Go(func() error {
		defer stop()
		return a.Run(ctx)
	})
	return group.Wait()
}

// drainReserve is the part of the grace period between SIGTERM and SIGKILL that is left for the
// process to end after the drain timeout.
const drainReserve = time.Second

// superviseSettings returns the settings of an agent from the platform's settings file.
func superviseSettings(file *boot.File) runner.Settings {
	coreSettings := core.DefaultSettings()
	coreSettings.Agent = file.Name
	coreSettings.DrainViewMaxAge = file.DrainViewMaxAge(coreSettings.DrainViewMaxAge)
	leaseTimes := file.Leases()
	coreSettings.OwnerLease, coreSettings.WorkerLease, coreSettings.MaxWorkerLease = leaseTimes.Owner, leaseTimes.Worker, file.MaxWorkerLease()
	return runner.Settings{
		Name: file.Name, DataCentre: file.DataCentre, Seeds: file.EntrySeeds(), DrainTimeout: file.GracePeriod() - drainReserve, Core: coreSettings,
	}
}
