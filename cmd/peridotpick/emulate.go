package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"peridotpick.example/common/errkind"
	"peridotpick.example/core/policy"
	"peridotpick.example/lab/emulator"
)

func emulateCommand() *cli.Command {
	return &cli.Command{
		Name:  "emulate",
		Usage: "play loads and faults over the real decision code in virtual time",
		Description: "Examples:\n" +
			"  peridotpick emulate --scenario burst --seeds 20\n" +
			"  peridotpick emulate --without yield --compare --seeds 20\n" +
			"  peridotpick emulate --deployment mine.json --scenario mine-too.json --report report/\n" +
			"Without --scenario all packaged ones are played.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "small", Usage: "name of a packaged deployment, or a JSON file"},
			&cli.StringSliceFlag{Name: "scenario", Usage: "names of packaged scenarios, or JSON files"},
			&cli.IntFlag{Name: "seeds", Value: 5, Usage: "number of seeds, 1 to 10000"},
			&cli.Uint64Flag{Name: "first", Value: 1, Usage: "first seed"},
			&cli.StringSliceFlag{Name: "without", Usage: "mechanisms to switch off"},
			&cli.BoolFlag{Name: "compare", Usage: "set the policy without them against the full one, seed by seed"},
			&cli.IntFlag{Name: "jobs", Usage: "plays at a time; half of the processors if 0"},
			&cli.BoolFlag{Name: "story", Usage: "tell each decision of the first seed instead"},
			&cli.BoolFlag{Name: "list", Usage: "list deployments, scenarios, troubles and mechanisms"},
			&cli.StringFlag{Name: "report", Usage: "folder for pictures (SVG)"},
			outputFlag(),
		},
		Action: runEmulate,
	}
}

// maxSeeds bounds an experiment to what a machine plays in an hour or so.
const maxSeeds = 10000

func runEmulate(ctx context.Context, cmd *cli.Command) error {
	if cmd.Bool("list") {
		return listEmulator()
	}
	if n := cmd.Int("seeds"); n < 1 || n > maxSeeds {
		return errkind.NewField(errkind.InvalidRequest, "--seeds", fmt.Sprintf("%d: from 1 to %d", n, maxSeeds))
	}
	d, err := emulator.LoadDeployment(cmd.String("deployment"))
	if err != nil {
		return errkind.NewField(errkind.InvalidRequest, "--deployment", err.Error())
	}
	without, err := policy.Without(cmd.StringSlice("without")...)
	if err != nil {
		return errkind.NewField(errkind.InvalidRequest, "--without", err.Error())
	}
	scenarios, err := scenariosOf(cmd)
	if err != nil {
		return err
	}
	if cmd.Bool("story") {
		return tellStory(d, scenarios[0], without, cmd.Uint64("first"))
	}
	if cmd.Bool("compare") {
		return compareEmulated(ctx, cmd, d, scenarios, without)
	}
	outcomes, err := emulateAll(ctx, cmd, d, scenarios, without)
	if err != nil {
		return err
	}
	return reportOutcomes(cmd, outcomes)
}

func scenariosOf(cmd *cli.Command) ([]*emulator.Scenario, error) {
	names := cmd.StringSlice("scenario")
	if len(names) == 0 {
		names = emulator.ScenarioNames()
	}
	var list []*emulator.Scenario
	for _, name := range names {
		s, err := emulator.LoadScenario(name)
		if err != nil {
			return nil, errkind.NewField(errkind.InvalidRequest, "--scenario", err.Error())
		}
		list = append(list, s)
	}
	return list, nil
}

func listEmulator() error {
	fmt.Println("deployments:", emulator.DeploymentNames())
	fmt.Println("scenarios:", emulator.ScenarioNames())
	fmt.Println("troubles:", emulator.FaultNames())
	fmt.Println("mechanisms:", policy.All())
	return nil
}

func tellStory(d *emulator.Deployment, s *emulator.Scenario, p policy.Policy, seed uint64) error {
	for _, line := range emulator.Play(d, s, p, seed, true).Story() {
		fmt.Println(line)
	}
	return nil
}

func emulateAll(ctx context.Context, cmd *cli.Command, d *emulator.Deployment, list []*emulator.Scenario, p policy.Policy) ([]*emulator.Outcome, error) {
	var outcomes []*emulator.Outcome
	for _, s := range list {
		e := emulator.Experiment{
			Deployment: d, Scenario: s, Policy: p, First: cmd.Uint64("first"), Seeds: cmd.Int("seeds"), Jobs: cmd.Int("jobs"),
		}
		o, err := e.Run(ctx)
		if err != nil {
			return nil, err
		}
		outcomes = append(outcomes, o)
	}
	return outcomes, nil
}

// reportOutcomes prints and draws outcomes. A broken promise is an error.
func reportOutcomes(cmd *cli.Command, outcomes []*emulator.Outcome) error {
	if cmd.String("output") == outputJSON {
		if err := json.NewEncoder(os.Stdout).Encode(outcomes); err != nil {
			return err
		}
	} else {
		table := emulator.PrintHead(os.Stdout)
		for _, o := range outcomes {
			o.PrintRow(table)
		}
		if err := table.Flush(); err != nil {
			return err
		}
	}
	var broken []string
	for _, o := range outcomes {
		if dir := cmd.String("report"); dir != "" {
			if err := o.Draw(dir); err != nil {
				return err
			}
		}
		broken = append(broken, o.Broken()...)
	}
	if len(broken) > 0 {
		return errkind.New(errkind.Internal, fmt.Sprintf("%d promises broken, the first: %s", len(broken), broken[0]))
	}
	return nil
}

func compareEmulated(ctx context.Context, cmd *cli.Command, d *emulator.Deployment, list []*emulator.Scenario, without policy.Policy) error {
	full, err := emulateAll(ctx, cmd, d, list, policy.Policy{})
	if err != nil {
		return err
	}
	other, err := emulateAll(ctx, cmd, d, list, without)
	if err != nil {
		return err
	}
	var comparisons []*emulator.Comparison
	for i := range full {
		comparisons = append(comparisons, emulator.Compare(full[i], other[i]))
	}
	if cmd.String("output") == outputJSON {
		return json.NewEncoder(os.Stdout).Encode(comparisons)
	}
	return emulator.PrintComparisons(os.Stdout, comparisons)
}
