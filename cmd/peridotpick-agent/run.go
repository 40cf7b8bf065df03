package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"peridotpick.example/common/settings"
	"peridotpick.example/service/agent"
	"peridotpick.example/service/process"
	"peridotpick.example/service/tableclient"
)

func runCommand() *cli.Command {
	return &cli.Command{
		Name: "run", Usage: "announce the backend server and run its tasks, until SIGTERM",
		Description: "Example:\n  peridotpick-agent run --settings deploy/association/agent-01.json",
		Flags:       []cli.Flag{settingsFlag()},
		Action:      run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	s, err := settings.LoadAgent(cmd.String("settings"))
	if err != nil {
		return err
	}
	sink, transport, err := process.Setup(s.Log.Level, s.TLS)
	if err != nil {
		return err
	}
	defer func() { _ = sink.Close() }()
	a, err := agent.New(s, agent.Deps{
		Logs: sink, Table: tableclient.New(s.Platform.Address, s.Platform.Timeout.Std()), Transport: transport,
	})
	if err != nil {
		return err
	}
	return a.Run(ctx)
}
