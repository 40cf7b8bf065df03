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
	core "peridotpick.example/core/batch"
	"peridotpick.example/core/ledger"
	"peridotpick.example/platform/boot"
	"peridotpick.example/platform/ingress"
	"peridotpick.example/platform/store"
	"peridotpick.example/service/batch"
	"peridotpick.example/service/telemetry"
	"peridotpick.example/service/transport"
)

// profileFlag has profiles of the process served; without it a reader of the metrics
// cannot cost processor time.
const profileFlag = "profile"

func dispatchCommand() *cli.Command {
	return &cli.Command{
		Name: "dispatch", Usage: "run an entry on the users' platform, until SIGTERM",
		Description: "Reads the platform's settings file, whose path is in " + boot.PathVariable + ".",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: profileFlag, Usage: "serve processor and heap profiles beside the metrics, under /debug/pprof/"},
		},
		Action: runDispatch,
	}
}

func runDispatch(ctx context.Context, command *cli.Command) error {
	file, err := boot.Load()
	if err != nil {
		return err
	}
	sink := logs.New(os.Stdout, zerolog.InfoLevel)
	defer func() { _ = sink.Close() }()
	registry := metrics.NewRegistry()
	e, err := batch.New(dispatchSettings(file), batch.Deps{
		Logs: sink, Transport: transport.New(nil), Store: store.New(file.Platform.Address, sink.For(logs.Entry)), Metrics: registry,
	})
	if err != nil {
		return err
	}
	callers := ingress.New(e, sink.For(logs.HTTP))
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, _ := errgroup.WithContext(work)
	group.Go(func() error { return e.Run(work) })
	group.Go(func() error { return telemetry.Serve(work, file.Metrics(), registry, command.Bool(profileFlag)) })
	group.Go(func() error {
		defer stop()
		return callers.Serve(ctx, file.Listen.Callers, file.Listen.Ready, file.Grace())
	})
	return group.Wait()
}

// Times of an entry that no settings name.
const (
	// ownFor outlasts the outages of the store that are usual there, 4.5 s: a longer
	// one stops the durable jobs of the entries it reaches.
	ownFor = 5500 * time.Millisecond
	// ownerSilent is five missed messages between entries.
	ownerSilent = 2 * time.Second
	// keepSlack lets callers ask a little later than they may.
	keepSlack = 5 * time.Second
	// maxOpen bounds an entry's durable jobs: at most some 10 KB each.
	maxOpen = 5000
	// writeShare is the part of the store's writes that durable jobs may take; others
	// are the registry's and the operator's.
	writeShare = 0.8
)

func dispatchSettings(file *boot.File) batch.Settings {
	decisions := core.Standard()
	decisions.DataCentre = file.DataCentre
	times := file.Leases()
	decisions.OwnerLease, decisions.WorkerLease = times.Owner, times.RunsOver
	decisions.RemoteFactor = file.Bounds.RemoteFactor
	return batch.Settings{
		WritesPerSecond: file.Platform.WritesPerSecond * writeShare,
		Ledger: ledger.Settings{
			OwnFor: ownFor, RunsOver: times.Owner + times.RunsOver, SilentAfter: ownerSilent,
			KeepEnded: file.KeepEnded() + keepSlack, MaxOpen: maxOpen,
		},
		Name: file.Name, Address: file.Internal(file.IP), Seeds: file.EntrySeeds(),
		Core: decisions,
	}
}
