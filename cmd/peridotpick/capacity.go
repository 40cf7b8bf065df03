package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"peridotpick.example/common/errkind"
	"peridotpick.example/lab/capacity"
)

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name: "capacity", Usage: "measure how the cost of control grows, for docs/CAPACITY.md",
		Description: "Examples:\n  peridotpick capacity\n  peridotpick capacity --sweep agents",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "sweep", Usage: "agents, entries, teams, jobs or changes; all if empty"},
			outputFlag(),
		},
		Action: runCapacity,
	}
}

func runCapacity(ctx context.Context, cmd *cli.Command) error {
	only := cmd.String("sweep")
	known := only == ""
	for _, sweep := range capacity.Sweeps() {
		if only != "" && only != sweep.Name {
			continue
		}
		known = true
		samples, err := sweep.Run(ctx)
		if err != nil {
			return err
		}
		if cmd.String("output") == outputJSON {
			err = json.NewEncoder(os.Stdout).Encode(samples)
		} else {
			err = sweep.Print(os.Stdout, samples)
			fmt.Println()
		}
		if err != nil {
			return err
		}
	}
	if !known {
		return errkind.NewField(errkind.InvalidRequest, "--sweep", only+": agents, entries, teams, jobs or changes")
	}
	return nil
}
