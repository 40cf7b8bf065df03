// Command peridotpick-agent runs beside one backend server.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"peridotpick.example/common/logs"
	"peridotpick.example/common/settings"
	"peridotpick.example/platform/client"
	"peridotpick.example/service/agent"
	"peridotpick.example/service/transport"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name: "peridotpick-agent", Usage: "process beside one backend server",
		Commands: []*cli.Command{runCommand(), checkCommand()},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "peridotpick-agent:", err)
		stop()
		os.Exit(1)
	}
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Required: true, Usage: "JSON file with the agent's settings"}
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check a settings file and name every mistake",
		Description: "Example:\n  peridotpick-agent check --settings deploy/association/agent-hall-a-1.json",
		Flags:       []cli.Flag{settingsFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if _, err := settings.LoadAgent(cmd.String("settings")); err != nil {
				return err
			}
			fmt.Println("the settings are valid")
			return nil
		},
	}
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name: "run", Usage: "announce the backend server and run its tasks, until SIGTERM",
		Description: "Example:\n  peridotpick-agent run --settings deploy/association/agent-hall-a-1.json",
		Flags:       []cli.Flag{settingsFlag()},
		Action:      run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	s, err := settings.LoadAgent(cmd.String("settings"))
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
	a, err := agent.New(s, agent.Deps{
		Logs: sink, Table: client.New(s.Platform.Address, s.Platform.Timeout.Std()), Transport: transport.New(keys),
	})
	if err != nil {
		return err
	}
	return a.Run(ctx)
}
