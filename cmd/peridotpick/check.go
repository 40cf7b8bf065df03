package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"peridotpick.example/common/config"
	"peridotpick.example/common/errkind"
	"peridotpick.example/common/settings"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check settings or configuration files and report every mistake", ArgsUsage: "FILE...",
		Description: "Examples:\n  peridotpick check deploy/association/entry-hall-a-1.json\n" +
			"  peridotpick check --kind agent deploy/association/agent-01.json\n" +
			"  peridotpick check --kind config deploy/association/config.json",
		Flags: []cli.Flag{&cli.StringFlag{Name: "kind", Value: "entry", Usage: "entry, agent or config"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			check, err := checkerFor(cmd.String("kind"))
			if err != nil {
				return err
			}
			if cmd.Args().Len() == 0 {
				return errkind.NewField(errkind.InvalidRequest, "FILE", "at least one file is required")
			}
			for _, path := range cmd.Args().Slice() {
				if err := checkFile(path, check); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// checkerFor returns the function that checks the content of a file of a kind: entry, agent or
// config.
func checkerFor(kind string) (func([]byte) error, error) {
	switch kind {
	case "entry":
		return func(data []byte) error { _, err := settings.ParseEntry(data); return err }, nil
	case "agent":
		return func(data []byte) error { _, err := settings.ParseAgent(data); return err }, nil
	case "config":
		return func(data []byte) error { _, err := config.Parse(data); return err }, nil
	}
	return nil, errkind.NewField(errkind.InvalidRequest, "--kind", kind+": entry, agent or config")
}

// checkFile checks a file and prints its path if it is valid.
func checkFile(path string, check func([]byte) error) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errkind.NewField(errkind.InvalidRequest, path, err.Error())
	}
	if err := check(data); err != nil {
		return errkind.NewField(errkind.InvalidRequest, path, "\n"+err.Error())
	}
	fmt.Println(path + ": valid")
	return nil
}
