// Command peridotpick-agent runs an agent: the process beside one backend server that starts there
// the tasks that entries send.
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
	signal.Ignore(syscall.SIGHUP) // settings are read at startup only; a SIGHUP after a change of the file must not end the process
	app := &cli.Command{
		Name: "peridotpick-agent", Usage: "agent, the process beside one backend server",
		Commands: []*cli.Command{runCommand(), superviseCommand(), checkCommand()},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "peridotpick-agent:", err)
		stop()
		os.Exit(exitError)
	}
}

// exitError is the exit code after any error, such as invalid arguments or settings.
const exitError = 2

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Required: true, Usage: "JSON file with the agent's settings"}
}
