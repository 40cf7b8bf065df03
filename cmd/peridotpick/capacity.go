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
		Name: "capacity", Usage: "measure how the cost of control grows with the size of a deployment, for docs/CAPACITY.md",
		Description: "Examples:\n  peridotpick capacity\n  peridotpick capacity --sweep agents",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "sweep", Usage: "what grows: agents, entries, teams, jobs or changes; all in turn if empty"},
			outputFlag(),
		},
		Action: runCapacity,
	}
}

func runCapacity(ctx context.Context, cmd *cli.Command) error {
	name := cmd.String("sweep")
	found := name == ""
	for _, sweep := range capacity.Sweeps() {
		if name != "" && name != sweep.Name {
			continue
		}
		found = true
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
	if !found {
		return errkind.NewField(errkind.InvalidRequest, "--sweep", name+": agents, entries, teams, jobs or changes")
	}
	return nil
}
