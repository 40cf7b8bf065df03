package main

import (
	"context"
	"os"
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

// profileFlag has profiles of the process served; without it a reader of the metrics
// cannot cost processor time.
const profileFlag = "profile"

func superviseCommand() *cli.Command {
	return &cli.Command{
		Name: "supervise", Usage: "run an agent on the users' platform, until SIGTERM",
		Description: "Reads the platform's settings file, whose path is in " + boot.PathVariable + ".",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: profileFlag, Usage: "serve processor and heap profiles beside the metrics, under /debug/pprof/"},
		},
		Action: runSupervise,
	}
}

func runSupervise(ctx context.Context, command *cli.Command) error {
	file, err := boot.Load()
	if err != nil {
		return err
	}
	sink := logs.New(os.Stdout, zerolog.InfoLevel)
	defer func() { _ = sink.Close() }()
	log := sink.For(logs.Agent)
	registry := metrics.NewRegistry()
	a := runner.New(superviseSettings(file), runner.Deps{
		Logs: sink, Transport: transport.New(nil), Registry: store.New(file.Platform.Address, log),
		Metrics: registry,
		Worker:  worker.New(file.BackendServer, core.Standard().LookWait, log),
	})
	announcements := worker.NewAnnouncements(file.Name, a, log)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, _ := errgroup.WithContext(work)
	group.Go(func() error { return telemetry.Serve(work, file.Metrics(), registry, command.Bool(profileFlag)) })
	group.Go(func() error { return announcements.Serve(work, file.Listen.Announce) })
	group.Go(func() error {
		defer stop()
		return a.Run(ctx)
	})
	return group.Wait()
}

// drainReserve is kept back from the grace.
const drainReserve = time.Second

func superviseSettings(file *boot.File) runner.Settings {
	decisions := core.Standard()
	decisions.Agent = file.Name
	decisions.DrainsWithin = file.DrainsWithin(decisions.DrainsWithin)
	times := file.Leases()
	decisions.OwnerLease, decisions.WorkerLease, decisions.LongestLease = times.Owner, times.Worker, file.LongestLease()
	return runner.Settings{
		Name: file.Name, DataCentre: file.DataCentre, Seeds: file.EntrySeeds(), DrainTimeout: file.Grace() - drainReserve, Core: decisions,
	}
}
