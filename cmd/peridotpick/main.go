// Command peridotpick runs entries, and has the commands of callers and operators and those for
// tests and experiments.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"peridotpick.example/common/errkind"
	"peridotpick.example/lab/caller"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	signal.Ignore(syscall.SIGHUP) // settings are read at startup only; a SIGHUP after a change of the file must not end the process
	if err := newApp().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "peridotpick:", err)
		stop()
		os.Exit(exitCode(err))
	}
}

func newApp() *cli.Command {
	return &cli.Command{
		Name:  "peridotpick",
		Usage: "dispatcher for sub-second tasks",
		Commands: []*cli.Command{
			entryCommand(), dispatchCommand(), explainCommand(), checkCommand(), demoCommand(), jobCommand(), callCommand(),
			workerCommand(), dataCentreCommand(), configCommand(), loadCommand(), emulateCommand(), capacityCommand(), platformCommand(), backendCommand(),
		},
	}
}

// exitCode maps an error to the exit code of its kind.
func exitCode(err error) int {
	var failure *caller.Failure
	if errors.As(err, &failure) {
		return errkind.Of(failure.Kind()).ExitCode
	}
	return errkind.Of(errkind.From(err).Kind).ExitCode
}
