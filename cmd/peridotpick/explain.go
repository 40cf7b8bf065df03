package main

import (
	"context"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"peridotpick.example/common/errkind"
	"peridotpick.example/service/explain"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "print the timeline of a job from the logs of entries and agents", ArgsUsage: "ID",
		Description: "Example:\n  peridotpick explain 5c0e7a21d94b36f8 --logs entry-1.log --logs agent-1.log\n" +
			"Exits with the code of not-found if no log mentions the job.",
		Flags:  []cli.Flag{&cli.StringSliceFlag{Name: "logs", Required: true, Usage: "path of a log file; may be repeated"}},
		Action: runExplain,
	}
}

func runExplain(_ context.Context, cmd *cli.Command) error {
	job := cmd.Args().First()
	if job == "" {
		return errkind.NewField(errkind.InvalidRequest, "ID", "the ID of the job is missing")
	}
	var timeline explain.Timeline
	for _, path := range cmd.StringSlice("logs") {
		if err := readLog(&timeline, path, job); err != nil {
			return err
		}
	}
	if len(timeline.Lines) == 0 {
		return errkind.NewField(errkind.NotFound, "ID", "no log mentions the job "+job)
	}
	return timeline.Print(os.Stdout)
}

// readLog adds the lines of a log file about a job to a timeline.
func readLog(timeline *explain.Timeline, path, job string) error {
	file, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	defer func() { _ = file.Close() }()
	return timeline.Read(path, file, job)
}
