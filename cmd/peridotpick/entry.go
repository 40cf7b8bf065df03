package main

import (
	"context"
	"os"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"peridotpick.example/common/logs"
	"peridotpick.example/common/settings"
	"peridotpick.example/platform/client"
	"peridotpick.example/service/entry"
	"peridotpick.example/service/transport"
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name: "entry", Usage: "run an entry until SIGTERM, then drain",
		Description: "Example:\n  peridotpick entry --settings deploy/association/entry-hall-a-1.json",
		Flags:       []cli.Flag{settingsFlag()},
		Action:      runEntry,
	}
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Required: true, Usage: "JSON file with the settings"}
}

func runEntry(ctx context.Context, cmd *cli.Command) error {
	s, err := settings.LoadEntry(cmd.String("settings"))
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return err
	}
	sink := logs.New(os.Stderr, level)
	defer func() { _ = sink.Close() }()
	var keys *transport.Keys
	if s.TLS != nil {
		if keys, err = transport.LoadKeys(*s.TLS); err != nil {
			return err
		}
	}
	platform := client.New(s.Platform.Address, s.Platform.Timeout.Std())
	e, err := entry.New(s, entry.Deps{
		Logs: sink, Table: platform, Objects: platform.Objects(), Workers: platform.Workers(), Transport: transport.New(keys),
	})
	if err != nil {
		return err
	}
	return e.Run(ctx)
}
