// Command peridotpick-agent runs beside one backend server.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	signal.Ignore(syscall.SIGHUP) // settings are read at the start; a changed file must not end the process
	app := &cli.Command{
		Name: "peridotpick-agent", Usage: "process beside one backend server",
		Commands: []*cli.Command{runCommand(), superviseCommand(), checkCommand()},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "peridotpick-agent:", err)
		stop()
		os.Exit(exitBadSettings)
	}
}

// exitBadSettings is the exit code of a process that could not start.
const exitBadSettings = 2

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Required: true, Usage: "JSON file with the agent's settings"}
}
