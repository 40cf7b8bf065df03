package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"peridotpick.example/common/settings"
	"peridotpick.example/service/entry"
	"peridotpick.example/service/process"
	"peridotpick.example/service/tableclient"
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
	sink, transport, err := process.Setup(s.Log.Level, s.TLS)
	if err != nil {
		return err
	}
	defer func() { _ = sink.Close() }()
	platform := tableclient.New(s.Platform.Address, s.Platform.Timeout.Std())
	e, err := entry.New(s, entry.Deps{
		Logs: sink, Table: platform, Objects: platform.Objects(), Workers: platform.Workers(), Transport: transport,
	})
	if err != nil {
		return err
	}
	return e.Run(ctx)
}
