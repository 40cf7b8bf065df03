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
		Name: "explain", Usage: "tell the story of a job from the logs of entries and agents", ArgsUsage: "ID",
		Description: "Example:\n  peridotpick explain 5c0e7a21d94b36f8 --logs entry-1.log --logs agent-1.log\n" +
			"Exits with the code of not-found if no log mentions the job.",
		Flags:  []cli.Flag{&cli.StringSliceFlag{Name: "logs", Required: true, Usage: "a log file; may be repeated"}},
		Action: runExplain,
	}
}

func runExplain(_ context.Context, cmd *cli.Command) error {
	job := cmd.Args().First()
	if job == "" {
		return errkind.NewField(errkind.InvalidRequest, "ID", "the job's name is missing")
	}
	var story explain.Story
	for _, path := range cmd.StringSlice("logs") {
		if err := readLog(&story, path, job); err != nil {
			return err
		}
	}
	if len(story.Lines) == 0 {
		return errkind.NewField(errkind.NotFound, "ID", "no log mentions the job "+job)
	}
	return story.Print(os.Stdout)
}

func readLog(story *explain.Story, path, job string) error {
	file, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	defer func() { _ = file.Close() }()
	return story.Read(path, file, job)
}
